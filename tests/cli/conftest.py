"""Fake entries, operator settings and a command runner for the tests of commands."""

import contextlib
import json
from types import SimpleNamespace

import pytest
import trio
import yaml

from hornbeamshore.bench.standin_store import StandinStore
from hornbeamshore.cli.main import main
from hornbeamshore.wire.connection import (
    MessageHandler,
    WireSettings,
    serve_connections,
)
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import StatusQuery, StatusReply

SECRET = "secret of the tested deployment"
HOST = "127.0.0.1"


class FakeEntry(MessageHandler):
    """Entry that answers status queries, and closes the connection without reports."""

    def __init__(self, reports):
        self._reports = reports

    def handle(self, conn, message):
        if not self._reports:
            conn.close()
        elif isinstance(message.body, StatusQuery):
            report = json.dumps(self._reports[message.body.topic])
            conn.send(StatusReply(report), reply_to=message.id)


def status_of(entry_id, revision, table, agents=()):
    """Return a status report; `agents` has triples of id, service and revision."""
    keys = ("agent_id", "service", "revision")
    rest = {"data_centre": "perth", "labels": []}
    return {
        "entry_id": entry_id,
        "data_centre": "perth",
        "revision": revision,
        "table_version": 1,
        "entries": [{"entry_id": name, "address": at} for name, at in table.items()],
        "agents": [dict(zip(keys, agent, strict=True)) | rest for agent in agents],
    }


@pytest.fixture
def operator(tmp_path):
    """Return a function that writes an operator's settings and returns their path."""

    def write(**changes):
        (tmp_path / "secret").write_text(SECRET)
        (tmp_path / "token").write_text("a token")
        cfg = {
            "deployment": "tayside",
            "entries": [f"{HOST}:1"],
            "secret_file": str(tmp_path / "secret"),
            "store": {"endpoints": [f"http://{HOST}:1"]},
            "http": [f"{HOST}:1"],
            "token_file": str(tmp_path / "token"),
        }
        path = tmp_path / "operator.yaml"
        path.write_text(yaml.safe_dump(cfg | changes))
        return str(path)

    return write


@pytest.fixture
def command(capfd):
    """Return a function that runs a command: exit code, standard output and error."""

    def run(*words):
        with pytest.raises(SystemExit) as ended:
            main(words)
        return int(ended.value.code), *capfd.readouterr()

    return run


@pytest.fixture
def world():
    """Return a context manager that runs a stand-in store and fake entries."""

    @contextlib.asynccontextmanager
    async def running(entry_ids):
        store, reports = StandinStore(), {name: {} for name in entry_ids}
        addresses = {}
        async with trio.open_nursery() as nursery:
            for name in entry_ids:
                doors = await trio.open_tcp_listeners(0, host=HOST)
                addresses[name] = f"{HOST}:{doors[0].socket.getsockname()[1]}"
                identity = Identity("tayside", "entry", name, 1, "perth")
                secret, cfg = SECRET.encode(), WireSettings()
                handler = FakeEntry(reports[name])
                nursery.start_soon(
                    serve_connections, doors, identity, secret, cfg, handler
                )
            store_at = await nursery.start(store.serve, 0)
            yield SimpleNamespace(
                store=store,
                store_at=store_at,
                addresses=addresses,
                reports=reports,
                status=status_of,
            )
            nursery.cancel_scope.cancel()

    return running
