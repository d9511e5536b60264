"""Agent side of direct dispatch: admits and supervises runs on one target."""
