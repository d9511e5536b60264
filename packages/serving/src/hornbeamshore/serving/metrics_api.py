"""HTTP endpoint for the metrics of a process."""

import prometheus_client


class MetricsApi:
    """ASGI application that serves a registry in the Prometheus text format."""

    def __init__(self, registry):
        self._registry = registry

    async def __call__(self, scope, receive, send):
        """Answer a request of any path with all metrics."""
        if scope["type"] != "http":
            return
        content = prometheus_client.generate_latest(self._registry)
        media_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
        headers = [(b"content-type", media_type)]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": content})
