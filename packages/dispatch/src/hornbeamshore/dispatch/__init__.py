"""Entry side of direct dispatch: jobs, queues and placement on agents."""
