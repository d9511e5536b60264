"""Core types, result codes, settings and logs shared by all packages."""
