"""Fake entries, operator settings and a command runner for the tests of commands."""

import contextlib
import json
from types import SimpleNamespace

import pytest
import trio
import yaml

from hornbeamshore.bench.standin_store import StandinStore
from hornbeamshore.cli.main import main
from hornbeamshore.wire.connection import MessageHandler, WireSettings
from hornbeamshore.wire.establish import serve_connections
from hornbeamshore.wire.handshake import Identity
from hornbeamshore.wire.messages import StatusQuery, StatusReply

SECRET = "secret of the tested deployment"
HOST = "127.0.0.1"


class FakeEntry(MessageHandler):
    """Entry that answers status queries; without reports it closes the connection."""

    def __init__(self, reports):
        self._reports = reports

    def handle(self, conn, message):
        if not self._reports:
            conn.close()
        elif isinstance(message.body, StatusQuery):
            report = json.dumps(self._reports[message.body.topic])
            conn.send(StatusReply(report), reply_to=message.id)


def make_status_report(entry_id, revision, addresses, agents=()):
    """Return a status report; `agents` has triples of id, service and revision."""
    keys = ("agent_id", "service", "revision")
    defaults = {"data_centre": "perth", "labels": []}
    return {
        "entry_id": entry_id,
        "data_centre": "perth",
        "revision": revision,
        "table_version": 1,
        "entries": [
            {"entry_id": name, "address": address}
            for name, address in addresses.items()
        ],
        "agents": [dict(zip(keys, agent, strict=True)) | defaults for agent in agents],
    }


@pytest.fixture
def write_settings(tmp_path):
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
def run_cli(capfd):
    """Return a function from arguments to exit code, standard output and error."""

    def run(*args):
        with pytest.raises(SystemExit) as exit_info:
            main(args)
        return int(exit_info.value.code), *capfd.readouterr()

    return run


@pytest.fixture
def running_deployment():
    """Return a context manager that runs a stand-in store and fake entries."""

    @contextlib.asynccontextmanager
    async def run(entry_ids):
        store, reports = StandinStore(), {name: {} for name in entry_ids}
        addresses = {}
        async with trio.open_nursery() as nursery:
            for name in entry_ids:
                listeners = await trio.open_tcp_listeners(0, host=HOST)
                addresses[name] = f"{HOST}:{listeners[0].socket.getsockname()[1]}"
                identity = Identity("tayside", "entry", name, 1, "perth")
                secret, cfg = SECRET.encode(), WireSettings()
                handler = FakeEntry(reports[name])
                nursery.start_soon(
                    serve_connections, listeners, identity, secret, cfg, handler
                )
            store_address = await nursery.start(store.serve, 0)
            yield SimpleNamespace(
                store=store,
                store_address=store_address,
                addresses=addresses,
                reports=reports,
                make_status=make_status_report,
            )
            nursery.cancel_scope.cancel()

    return run
