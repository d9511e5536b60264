"""Policies for placement, queueing, admission, retries and outlier ejection."""
