"""Deployment configuration: model, validation, storage and replication."""
