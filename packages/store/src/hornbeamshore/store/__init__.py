"""Interface and adapter of the platform's key-value store."""
