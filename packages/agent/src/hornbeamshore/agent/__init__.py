"""Agent daemon beside each target."""
