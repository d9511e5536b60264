"""Client for the platform's key-value store: interface and etcd implementation."""
