"""HTTP server with scripted responses."""

import contextlib
import json

import trio

from hornbeamshore.platform.asgi import read_body, send_response
from hornbeamshore.serving.http_server import open_http_listeners, serve_http
from hornbeamshore.serving.http_settings import HttpSettings
from hornbeamshore.serving.shutdown import Shutdown


class ScriptedApp:
    """ASGI application that returns scripted responses and records the requests.

    Attributes
    ----------
    responses : list of tuple
        Status and body of the next responses; the last one is repeated. Status None
        sends no response.
    requests : list of tuple
        Method, path with query, headers and decoded body.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.requests = []

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        data = await read_body(receive, 1 << 20)
        path = scope["path"]
        if scope["query_string"]:
            path += "?" + scope["query_string"].decode()
        body = json.loads(data) if data else None
        headers = dict(scope["headers"])
        self.requests.append((scope["method"], path, headers, body))
        status, content = self.responses[0]
        if len(self.responses) > 1:
            self.responses.pop(0)
        if status is None:
            await trio.sleep_forever()
        await send_response(send, status, content)


@contextlib.asynccontextmanager
async def serving(app):
    """Serve an application and yield its ``host:port``."""
    async with trio.open_nursery() as nursery:
        listeners = await open_http_listeners("127.0.0.1", 0)
        await nursery.start(serve_http, app, listeners, HttpSettings(), Shutdown())
        port = listeners[0].socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()
