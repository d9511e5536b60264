"""Entry side of direct dispatch: job queues, scheduling and placement on agents."""
