"""Numbered result codes with their default run states and HTTP statuses."""

import enum
from dataclasses import dataclass


class RunState(enum.IntEnum):
    """Whether the work behind an answer ran."""

    RAN = 1
    NOT_RUN = 2
    UNKNOWN = 3

    @property
    def label(self):
        """Return the text used in answers: ``ran``, ``not run`` or ``unknown``."""
        return self.name.lower().replace("_", " ")


class ResultCode(enum.IntEnum):
    """Result code of a request, a task, a peer message or a command."""

    OK = 0
    RUNNING = 1
    MALFORMED_REQUEST = 100
    BODY_TOO_LARGE = 101
    TASK_COUNT_OUT_OF_RANGE = 102
    UNKNOWN_SERVICE = 103
    UNKNOWN_KIND = 104
    NOT_AUTHENTICATED = 105
    KEY_REUSED = 106
    JOB_NOT_FOUND = 107
    NEVER_RUNNABLE = 108
    DEADLINE_OUT_OF_RANGE = 109
    NOT_ALLOWED = 110
    OVERLOADED = 200
    QUOTA_EXCEEDED = 201
    DEADLINE_UNREACHABLE = 202
    DRAINING = 203
    NO_TARGETS = 204
    NOT_CONFIGURED = 205
    TASK_FAILED = 300
    DEADLINE_EXCEEDED = 301
    CANCELLED = 302
    RESULT_EXPIRED = 303
    RESULT_TOO_LARGE = 304
    TARGET_CRASHED = 305
    OUTCOME_UNKNOWN = 400
    KEY_UNACCOUNTED = 401
    KEY_EXPIRED = 402
    OWNER_UNREACHABLE = 403
    STALE_EPOCH = 500
    AGENT_LEAVING = 501
    NO_FREE_SLOT = 502
    DUPLICATE_START = 503
    START_EXPIRED = 504
    TARGET_UNREACHABLE = 505
    PROTOCOL_ERROR = 506
    PEER_REJECTED = 507
    NOT_OWNER = 508
    OWNER_ALIVE = 509
    ENTRY_UNREACHABLE = 510
    SEND_TASKS = 511
    CONFIG_INVALID = 600
    CONFIG_CONFLICT = 601
    STORE_UNAVAILABLE = 602
    NOT_IN_FORCE = 603
    SETTINGS_INVALID = 700
    ADDRESS_IN_USE = 701


@dataclass(frozen=True, slots=True)
class CodeInfo:
    """Row of the table of result codes.

    Attributes
    ----------
    run_state : RunState
        Default run state of an answer with the code.
    http_status : int
        HTTP status of an answer with the code.
    meaning : str
        One sentence that explains the code; the default detail of an answer.
    """

    run_state: RunState
    http_status: int
    meaning: str


_RAN = RunState.RAN
_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

CODE_TABLE = {
    ResultCode.OK: CodeInfo(_RAN, 200, "All tasks ran and succeeded."),
    ResultCode.RUNNING: CodeInfo(
        _UNKNOWN, 202, "The job was accepted and has not ended."
    ),
    ResultCode.MALFORMED_REQUEST: CodeInfo(_NOT_RUN, 400, "The request is malformed."),
    ResultCode.BODY_TOO_LARGE: CodeInfo(_NOT_RUN, 413, "The body exceeds its limit."),
    ResultCode.TASK_COUNT_OUT_OF_RANGE: CodeInfo(
        _NOT_RUN, 422, "A job must have 1 to 320 tasks."
    ),
    ResultCode.UNKNOWN_SERVICE: CodeInfo(
        _NOT_RUN, 404, "The configuration has no such service."
    ),
    ResultCode.UNKNOWN_KIND: CodeInfo(_NOT_RUN, 404, "The service has no such kind."),
    ResultCode.NOT_AUTHENTICATED: CodeInfo(
        _NOT_RUN, 401, "The token is missing or unknown."
    ),
    ResultCode.KEY_REUSED: CodeInfo(
        _NOT_RUN,
        422,
        "The identifier was used for a submission with different content.",
    ),
    ResultCode.JOB_NOT_FOUND: CodeInfo(
        _UNKNOWN, 404, "No record of this identifier is kept."
    ),
    ResultCode.NEVER_RUNNABLE: CodeInfo(
        _NOT_RUN, 422, "No target can ever run this request."
    ),
    ResultCode.DEADLINE_OUT_OF_RANGE: CodeInfo(
        _NOT_RUN, 422, "The deadline is outside its bounds."
    ),
    ResultCode.NOT_ALLOWED: CodeInfo(
        _NOT_RUN, 403, "The token does not allow this operation."
    ),
    ResultCode.OVERLOADED: CodeInfo(_NOT_RUN, 503, "The queue is full."),
    ResultCode.QUOTA_EXCEEDED: CodeInfo(_NOT_RUN, 429, "The team has used its quota."),
    ResultCode.DEADLINE_UNREACHABLE: CodeInfo(
        _NOT_RUN, 503, "The work cannot end before its deadline."
    ),
    ResultCode.DRAINING: CodeInfo(_NOT_RUN, 503, "The entry is shutting down."),
    ResultCode.NO_TARGETS: CodeInfo(_NOT_RUN, 503, "No target of the service is up."),
    ResultCode.NOT_CONFIGURED: CodeInfo(
        _NOT_RUN, 503, "No configuration is in force yet."
    ),
    ResultCode.TASK_FAILED: CodeInfo(_RAN, 502, "A task ran and failed."),
    ResultCode.DEADLINE_EXCEEDED: CodeInfo(
        _UNKNOWN, 504, "The deadline passed before the work ended."
    ),
    ResultCode.CANCELLED: CodeInfo(_UNKNOWN, 409, "The job was cancelled."),
    ResultCode.RESULT_EXPIRED: CodeInfo(
        _RAN, 410, "The work ran; its result is no longer kept."
    ),
    ResultCode.RESULT_TOO_LARGE: CodeInfo(
        _RAN, 502, "The work ran; its result exceeds the limit."
    ),
    ResultCode.TARGET_CRASHED: CodeInfo(
        _RAN, 502, "A task crashed the targets that started it."
    ),
    ResultCode.OUTCOME_UNKNOWN: CodeInfo(
        _UNKNOWN, 504, "Contact was lost after the work may have started."
    ),
    ResultCode.KEY_UNACCOUNTED: CodeInfo(
        _UNKNOWN, 503, "Records that could contain this identifier are missing."
    ),
    ResultCode.KEY_EXPIRED: CodeInfo(
        _UNKNOWN, 410, "The identifier is older than the retention."
    ),
    ResultCode.OWNER_UNREACHABLE: CodeInfo(
        _UNKNOWN, 503, "No owner of the partition could be reached."
    ),
    ResultCode.STALE_EPOCH: CodeInfo(_NOT_RUN, 503, "A newer owner fenced the sender."),
    ResultCode.AGENT_LEAVING: CodeInfo(_NOT_RUN, 503, "The target is leaving."),
    ResultCode.NO_FREE_SLOT: CodeInfo(_NOT_RUN, 503, "The target has no free slot."),
    ResultCode.DUPLICATE_START: CodeInfo(
        _NOT_RUN, 409, "The task was already started; this copy did not run."
    ),
    ResultCode.START_EXPIRED: CodeInfo(
        _NOT_RUN, 504, "The start reached the agent after its deadline."
    ),
    ResultCode.TARGET_UNREACHABLE: CodeInfo(
        _NOT_RUN, 502, "No connection to the target could be opened."
    ),
    ResultCode.PROTOCOL_ERROR: CodeInfo(
        _UNKNOWN, 500, "A peer violated the inner protocol."
    ),
    ResultCode.PEER_REJECTED: CodeInfo(_NOT_RUN, 403, "A peer failed authentication."),
    ResultCode.NOT_OWNER: CodeInfo(
        _NOT_RUN, 503, "The entry does not own the partition."
    ),
    ResultCode.OWNER_ALIVE: CodeInfo(
        _NOT_RUN, 503, "The agent cannot rule out yet that the current owner is alive."
    ),
    ResultCode.ENTRY_UNREACHABLE: CodeInfo(
        _NOT_RUN, 503, "No entry of the deployment could be reached."
    ),
    ResultCode.SEND_TASKS: CodeInfo(
        _NOT_RUN, 503, "The owner accepts the offer and waits for the tasks."
    ),
    ResultCode.CONFIG_INVALID: CodeInfo(
        _NOT_RUN, 422, "The configuration file is invalid."
    ),
    ResultCode.CONFIG_CONFLICT: CodeInfo(
        _NOT_RUN, 409, "Another operator applied a change first."
    ),
    ResultCode.STORE_UNAVAILABLE: CodeInfo(
        _UNKNOWN, 503, "The platform's store did not answer."
    ),
    ResultCode.NOT_IN_FORCE: CodeInfo(
        _UNKNOWN, 504, "A process does not have the revision in force yet."
    ),
    ResultCode.SETTINGS_INVALID: CodeInfo(
        _NOT_RUN, 500, "The settings file is invalid."
    ),
    ResultCode.ADDRESS_IN_USE: CodeInfo(
        _NOT_RUN, 500, "The listen address is already in use."
    ),
}


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal or failure of a request, a message or a command.

    Attributes
    ----------
    code : ResultCode
        Numbered reason.
    detail : str
        Explanation, such as the invalid field and the rule.
    run_state : RunState
        Whether the work ran.
    retry_after_s : float
        Seconds after which to retry; 0 if a retry cannot succeed.
    """

    code: ResultCode
    detail: str
    run_state: RunState
    retry_after_s: float = 0.0


def refuse(code, detail="", *, run_state=None, retry_after_s=0.0):
    """Return a `Refusal`; detail and run state default to those in `CODE_TABLE`."""
    info = CODE_TABLE[code]
    state = info.run_state if run_state is None else run_state
    return Refusal(code, detail or info.meaning, state, retry_after_s)
