"""Formal specification of the core protocol; `python -m spec` model-checks it."""
