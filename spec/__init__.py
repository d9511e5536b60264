"""Specification of the core protocol, explored exhaustively by `python -m spec`."""
