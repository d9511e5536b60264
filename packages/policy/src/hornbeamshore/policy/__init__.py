"""Decisions on placement, queueing, admission, retries and outliers."""
