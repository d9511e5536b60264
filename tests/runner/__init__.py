"""Tests of the agent side of direct dispatch."""
