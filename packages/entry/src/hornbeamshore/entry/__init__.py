"""Entry daemon: HTTP interface, ownership of partitions and dispatch."""
