"""Tests of the servers and sockets of the daemons."""
