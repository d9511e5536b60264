"""Tests of callers' results on fleets of entries and agents in one process."""
