"""Tests of the messages and exit codes for invalid arguments, settings and files."""

import json
import socket
from pathlib import Path

import pytest
import yaml

FILES = Path(__file__).parent / "files"
ROOT = Path(__file__).parents[2]
APPLY = ("config", "apply")
JOB = ("--service", "order-desk", "--kind", "stock-check")

# Arguments, exit code and texts in the output. OP stands for an operator's settings
# file, F for the folder of test files.
CASES = {
    "no command": ((), 2, ["Usage: hornbeamshore COMMAND"]),
    "unknown command": (("stat",), 2, ["100 MALFORMED_REQUEST", "stat"]),
    "surplus argument": (
        ("config", "check", "F/broken.yaml", "x"),
        2,
        ["100", "arg: x"],
    ),
    "unknown flag": (("status", "--settings", "OP", "--jsn"), 2, ["100", "--jsn"]),
    "no settings": (("burn",), 2, ["100", "settings", "burn --help"]),
    "valid file": (("config", "check", "examples/tayside.yaml"), 0, ["no faults"]),
    "faulty file": (
        ("config", "check", "F/broken.yaml"),
        1,
        [
            "line 5: $.services.desk.kinds.quote.deadline: 5: expected a number with",
            "line 5: $.services.desk.kinds.quote.urgency: 'now': expected one of urg",
            "line 7: $.teams.sales.quota_slots: 0: ",
            "line 7: $.teams.sales.token_sha256: ",
            "600 CONFIG_INVALID: 4 faults",
        ],
    ),
    "not YAML": (
        ("config", "check", "F/not-yaml.yaml"),
        1,
        ["line 2: $: ", "not YAML"],
    ),
    "missing file": (("config", "check", "F/none.yaml"), 2, ["600", "cannot be read"]),
    "apply faulty file": (
        (*APPLY, "F/broken.yaml", "--settings", "OP"),
        2,
        ["600 CONFIG_INVALID", "line 5: $.services.desk.kinds.quote.deadline"],
    ),
    "apply file of another deployment": (
        (*APPLY, "examples/knipling.yaml", "--settings", "OP"),
        2,
        ["600", "is for deployment knipling; the settings are for tayside"],
    ),
    "apply with store unavailable": (
        (*APPLY, "examples/tayside.yaml", "--settings", "OP"),
        3,
        ["602 STORE_UNAVAILABLE"],
    ),
    "apply wait without unit": (
        (*APPLY, "examples/tayside.yaml", "--settings", "OP", "--wait", "15"),
        2,
        ["100", "--wait '15': expected a number with ms, s, min or h"],
    ),
    "apply expect not an integer": (
        (*APPLY, "examples/tayside.yaml", "--settings", "OP", "--expect", "x"),
        2,
        ["100", "--expect 'x': expected a whole number"],
    ),
    "faulty operator settings": (
        ("status", "--settings", "F/operator-faults.yaml"),
        2,
        [
            "700 SETTINGS_INVALID",
            "operator-faults.yaml:2: $.entries: []: expected a list of length >= 1",
            "operator-faults.yaml:4: $.store.request_timeout: 3: expected a number",
        ],
    ),
    "status with entries unreachable": (
        ("status", "--settings", "OP"),
        3,
        ["510 ENTRY_UNREACHABLE"],
    ),
    "show with entries unreachable": (
        ("config", "show", "--settings", "OP"),
        3,
        ["510"],
    ),
    "burn with entries unreachable": (
        ("burn", "--settings", "OP"),
        3,
        ["510", "127.0.0.1:1"],
    ),
    "submit unanswered": (
        ("submit", "--settings", "OP", *JOB, "--body", "{}", "--tries", "2"),
        3,
        ["400 OUTCOME_UNKNOWN", "--submitted-at"],
    ),
    "submit without tasks": (
        ("submit", "F/no-tasks.json", "--settings", "OP"),
        2,
        ["100", "no tasks: set it in the file or in the arguments"],
    ),
    "submit JSON list": (
        ("submit", "F/list.json", "--settings", "OP"),
        2,
        ["100", "list.json: expected a JSON object"],
    ),
    "submit invalid JSON": (
        ("submit", "--settings", "OP", *JOB, "--body", "{"),
        2,
        ["100", "--body: not JSON"],
    ),
    "trace without arguments": (("trace",), 2, ["100", "trace --help"]),
    "trace without logs": (("trace", "a1"), 2, ["100", "at least one log file"]),
    "trace missing file": (
        ("trace", "a1", "F/none.log"),
        2,
        ["100", "none.log: No such"],
    ),
    "faulty entry settings": (
        ("entry", "--settings", "F/entry-faults.yaml"),
        2,
        [
            "700 SETTINGS_INVALID",
            "entry-faults.yaml:2: $.entry_id: 'entry one': ",
            "entry-faults.yaml:4: $.http_listen: '127.0.0.1': ",
            "entry-faults.yaml:7: $.log_level: 'loud': ",
            "entry-faults.yaml:8: $.store.endpoints: []: ",
        ],
    ),
    "entry settings missing": (
        ("entry", "--settings", "F/none.yaml"),
        2,
        ["700", "cannot be"],
    ),
}


@pytest.mark.parametrize(("args", "code", "expected_texts"), CASES.values(), ids=CASES)
def test_invalid_input_reports_location_and_code(
    args, code, expected_texts, run_cli, write_settings, monkeypatch
):
    """Guards against messages without the location of the error, and wrong codes."""
    monkeypatch.chdir(ROOT)
    replacements = {"OP": write_settings()}
    args = [replacements.get(arg, arg.replace("F/", f"{FILES}/")) for arg in args]
    exit_code, out, err = run_cli(*args)
    assert exit_code == code
    for text in expected_texts:
        assert text in out + err
    assert "Traceback" not in err


@pytest.mark.parametrize("setting_in_use", ["http_listen", "peer_listen"])
def test_entry_reports_address_in_use(setting_in_use, run_cli, tmp_path):
    """Guards against a traceback, and an entry that serves one port only."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        (tmp_path / "secret").write_text("secret of some length")
        cfg = dict.fromkeys(("deployment", "entry_id", "data_centre"), "x")
        cfg |= dict.fromkeys(("http_listen", "peer_listen"), "127.0.0.1:0")
        cfg |= {"secret_file": str(tmp_path / "secret"), setting_in_use: address}
        cfg |= {"store": {"endpoints": ["http://127.0.0.1:1"]}}
        path = tmp_path / "entry.yaml"
        path.write_text(yaml.safe_dump(cfg))
        code, _, err = run_cli("entry", "--settings", str(path))
    assert code == 2
    assert f"701 ADDRESS_IN_USE: {address}: " in err


@pytest.mark.parametrize(
    "args",
    [
        ("entry",),
        ("config",),
        ("config", "check"),
        ("config", "apply"),
        ("config", "show"),
        ("submit",),
        ("status",),
        ("burn",),
        ("trace",),
    ],
    ids=" ".join,
)
def test_help_shows_usage_and_exit_codes(args, run_cli):
    """Guards against ``--help`` that runs the command or omits the exit codes."""
    code, out, _ = run_cli(*args, "--help")
    assert code == 0
    assert out.startswith(f"Usage: hornbeamshore {' '.join(args)} ")
    assert "Exit codes:" in out


def test_json_output_of_failure_has_code(run_cli, write_settings):
    """Guards against failures that scripts cannot read as JSON."""
    code, out, _ = run_cli("status", "--settings", write_settings(), "--json")
    assert (code, json.loads(out)["code"]) == (3, 510)
