"""The ``submit`` command: submits a job over HTTP, with retries."""

import json
import random
import time
from dataclasses import dataclass
from pathlib import Path

import httpcore
import trio

from hornbeamshore.base.clock import random_id, unix_ms
from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.cli.command import (
    Command,
    CommandFailed,
    ExitCode,
    Outcome,
    input_error,
    parse_duration,
    parse_integer,
)
from hornbeamshore.cli.operator import load_operator_settings, read_token

# Used for jobs without a deadline: the default of their kind is not known here.
MAX_DEADLINE_S = 60.0
# Time after the deadline in which the answer may still arrive.
ANSWER_GRACE_S = 2.0
RETRY_PAUSE_S = 0.2
# Result codes after which the same submission is sent again.
RESUBMIT_CODES = (
    ResultCode.DRAINING,
    ResultCode.KEY_UNACCOUNTED,
    ResultCode.OWNER_UNREACHABLE,
)
RETRIED_ERRORS = (
    httpcore.NetworkError,
    httpcore.RemoteProtocolError,
    trio.TooSlowError,
    ValueError,
)


@dataclass(frozen=True, slots=True)
class JobArguments:
    """Arguments of ``submit``; empty if not given."""

    file: str = ""
    id: str = ""
    service: str = ""
    kind: str = ""
    body: str = ""
    deadline: str = ""
    submitted_at: str = ""


class SubmitJob(Command):
    """Submit a job and resubmit it while its outcome is unknown.

    Parameters
    ----------
    arguments : JobArguments
        Arguments that describe the job.
    settings : str
        Path of the operator's settings file.
    tries : str
        Maximum number of times that the job is sent.
    """

    def __init__(self, arguments, settings, tries):
        self._cfg = load_operator_settings(settings)
        if not self._cfg.http:
            detail = "$.http: required to submit"
            raise input_error(detail, ResultCode.SETTINGS_INVALID)
        self._token = read_token(self._cfg)
        self._job = build_job(arguments)
        self._tries = parse_integer("tries", tries)
        self._rng = random.Random(self._job["id"])

    async def run(self):
        """Submit the job and return the answer.

        Returns
        -------
        Outcome
            Exit code ``NOT_SO`` if the result code of the answer is not ``OK``.

        Raises
        ------
        CommandFailed
            If no attempt got an answer.
        """
        timeout_s = MAX_DEADLINE_S
        if isinstance(self._job.get("deadline_ms"), int):
            timeout_s = self._job["deadline_ms"] / 1000
        content = json.dumps(self._job).encode()
        answer, errors, started = None, [], time.monotonic()
        for attempt in range(self._tries):
            address = self._cfg.http[attempt % len(self._cfg.http)]
            try:
                with trio.fail_after(timeout_s + ANSWER_GRACE_S):
                    answer, pause_s = await self._send(address, content)
            except RETRIED_ERRORS as exc:
                errors.append(f"{address}: {exc or type(exc).__name__}")
                pause_s = RETRY_PAUSE_S
            if answer is not None and answer["code"] not in RESUBMIT_CODES:
                break
            await trio.sleep(pause_s * self._rng.uniform(1, 1.5))
        if answer is None:
            raise self._unknown_outcome(errors)
        elapsed_ms = round((time.monotonic() - started) * 1000)
        return self._outcome(answer, attempt + 1, elapsed_ms)

    async def _send(self, address, content):
        """Return the answer of an entry, and the pause in s before the next try."""
        headers = [
            ("Authorization", f"Bearer {self._token}"),
            ("Content-Type", "application/json"),
        ]
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{address}/v1/jobs"
            response = await pool.request("POST", url, headers=headers, content=content)
        answer = json.loads(response.content)
        if not isinstance(answer, dict) or "code" not in answer:
            raise ValueError(f"status {response.status} without a result code")
        response_headers = {name.lower(): value for name, value in response.headers}
        pause_ms = float(response_headers.get(b"hornbeamshore-retry-after-ms", 0))
        return answer, max(RETRY_PAUSE_S, pause_ms / 1000)

    def _unknown_outcome(self, errors):
        detail = f"job {self._job['id']}: {'; '.join(errors)}; resubmit with --id and"
        detail += f" --submitted-at {self._job['submitted_at']} to learn the outcome"
        refusal = refuse(ResultCode.OUTCOME_UNKNOWN, detail)
        return CommandFailed(refusal, ExitCode.UNREACHABLE)

    def _outcome(self, answer, tries, elapsed_ms):
        job = self._job
        report = answer | {
            "id": job["id"],
            "submitted_at": job["submitted_at"],
            "tries": tries,
            "elapsed_ms": elapsed_ms,
        }
        lines = [
            f"job {job['id']}: {answer['code']} {answer.get('name', '')}:"
            f" {answer.get('detail', '')}",
            f"run state {answer.get('run_state')}, {elapsed_ms} ms, sent {tries} times,"
            f" submitted at {job['submitted_at']}",
        ]
        for result in answer.get("results", ()):
            body = result.get("body", result.get("body_base64"))
            lines.append(
                f"task {result['index']}: status {result['status']}: {json.dumps(body)}"
            )
        ok = answer["code"] == ResultCode.OK
        return Outcome(ExitCode.OK if ok else ExitCode.NOT_SO, report, tuple(lines))


def build_job(arguments):
    """Return the body of POST /v1/jobs, with identifier and time of submission.

    Raises
    ------
    CommandFailed
        If the file or the arguments are invalid or incomplete.
    """
    job = _read_job_file(arguments.file) if arguments.file else {}
    for name in ("id", "service", "kind"):
        if getattr(arguments, name):
            job[name] = getattr(arguments, name)
    if arguments.body:
        job["tasks"] = [{"body": _parse_json("--body", arguments.body)}]
    if arguments.deadline:
        deadline_s = parse_duration("deadline", arguments.deadline)
        job["deadline_ms"] = round(deadline_s * 1000)
    if arguments.submitted_at:
        job["submitted_at"] = parse_integer("submitted-at", arguments.submitted_at)
    for name in ("service", "kind", "tasks"):
        if name not in job:
            raise input_error(f"no {name}: set it in the file or in the arguments")
    job.setdefault("id", f"cli-{random_id()}")
    job.setdefault("submitted_at", unix_ms())
    return job


def _read_job_file(path):
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise input_error(f"{path}: cannot be read: {exc}") from exc
    job = _parse_json(path, text)
    if not isinstance(job, dict):
        raise input_error(f"{path}: expected a JSON object")
    return job


def _parse_json(source, text):
    try:
        return json.loads(text)
    except ValueError as exc:
        raise input_error(f"{source}: not JSON: {exc}") from exc
