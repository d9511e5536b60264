"""Daemon that runs beside each target and executes tasks on it."""
