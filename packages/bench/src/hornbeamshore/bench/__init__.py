"""Stand-ins, demonstration and measurement."""
