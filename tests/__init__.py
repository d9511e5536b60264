"""Tests of hornbeamshore."""
