"""Operators' configuration file: model, checks, application and replication."""
