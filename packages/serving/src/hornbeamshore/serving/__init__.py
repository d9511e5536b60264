"""HTTP server, metrics and signals of the daemons."""
