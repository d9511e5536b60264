"""Agent side of direct dispatch: admission and runs on one target."""
