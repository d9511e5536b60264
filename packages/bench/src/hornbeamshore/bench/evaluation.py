"""Checks of answers and target logs against the guarantees of the service."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.bench.profiles import MS_PER_S

NO_CODE = -1
NOT_RUN = "not run"


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer that a caller received for a submission.

    Attributes
    ----------
    response_s : float
        Seconds from the planned arrival to the final answer.
    late_s : float
        Seconds by which the caller itself delayed the first send.
    code : int
        Result code of the final answer; `NO_CODE` if there was none.
    run_state : str
        Run state of the final answer.
    whole : bool
        Whether the answer has the result of each task, in order.
    partial : bool
        Whether the answer has results, but not exactly one for each task in order.
    tries : int
        Number of times that the submission was sent.
    """

    id: str
    response_s: float
    late_s: float
    code: int
    run_state: str
    whole: bool
    partial: bool
    tries: int = 1

    @property
    def succeeded(self):
        """Return whether all tasks ran and the answer is complete."""
        return self.code == ResultCode.OK and self.whole


@dataclass(frozen=True, slots=True)
class Violations:
    """Numbers of violated guarantees; each must be 0.

    Attributes
    ----------
    double_starts : int
        Task starts beyond the first that are not permitted retries.
    partial_answers : int
        Answers with some but not all results.
    false_not_run : int
        Answers with run state "not run" of which a task was started.
    unanswered : int
        Submissions without a final answer.
    """

    double_starts: int = 0
    partial_answers: int = 0
    false_not_run: int = 0
    unanswered: int = 0

    def __add__(self, other):
        return Violations(
            self.double_starts + other.double_starts,
            self.partial_answers + other.partial_answers,
            self.false_not_run + other.false_not_run,
            self.unanswered + other.unanswered,
        )


def count_violations(jobs, answers, events, service):
    """Return the `Violations` of one pass.

    Parameters
    ----------
    jobs : sequence of LoadJob
        Submissions.
    answers : sequence of Answer
        Answers that the callers received.
    events : iterable of dict
        Log events of all targets; those of other passes are ignored.
    service : Service
        Kinds and retry policy.
    """
    jobs_by_id = {job.id: job for job in jobs}
    attempts_by_task = defaultdict(list)
    for event in events:
        if event["event"] == "start" and event["job"] in jobs_by_id:
            attempts_by_task[event["job"], event["index"]].append(event["attempt"])
    started_jobs = {job_id for job_id, _ in attempts_by_task}
    answered_jobs = {answer.id for answer in answers if answer.code != NO_CODE}
    return Violations(
        _count_double_starts(jobs_by_id, attempts_by_task, service),
        sum(_is_partial(answer) for answer in answers),
        sum(a.run_state == NOT_RUN and a.id in started_jobs for a in answers),
        sum(job.id not in answered_jobs for job in jobs),
    )


def count_in_time(jobs, answers, service):
    """Return the number of jobs with a complete answer within their objective."""
    answers_by_id = {answer.id: answer for answer in answers}
    return sum(
        job.id in answers_by_id
        and answers_by_id[job.id].succeeded
        and answers_by_id[job.id].response_s
        <= service.kinds[job.kind].objective.good_within
        for job in jobs
    )


def response_ratios(jobs, answers, reference_s):
    """Return the response time of each job over a reference time.

    The ratio of a job without a complete answer is infinite.

    Parameters
    ----------
    reference_s : dict of str to float
        Reference time in seconds by job id.
    """
    answers_by_id = {answer.id: answer for answer in answers}
    return [
        answers_by_id[job.id].response_s / reference_s[job.id]
        if job.id in answers_by_id and answers_by_id[job.id].succeeded
        else float("inf")
        for job in jobs
    ]


def offered_load(jobs, capacity, start_s, end_s):
    """Return the work that arrives in an interval over the capacity in that interval.

    Parameters
    ----------
    capacity : float
        Nominal seconds of work that all targets complete in a second.
    """
    work_ms = sum(sum(job.run_times_ms) for job in jobs if start_s <= job.at_s < end_s)
    return work_ms / MS_PER_S / (capacity * (end_s - start_s))


def overruns_s(jobs, events, speeds):
    """Return the seconds by which each task exceeded its planned run time.

    Such delays come from a loaded machine and not from the dispatcher.

    Parameters
    ----------
    events : iterable of dict
        Log events of the targets, each with the id of its agent as ``agent``.
    speeds : dict of str to float
        Speed of each target by agent id.
    """
    jobs_by_id = {job.id: job for job in jobs}
    started_at_ms, overruns = {}, []
    for event in events:
        job = jobs_by_id.get(event["job"])
        if job is None:
            continue
        attempt = event["agent"], event["job"], event["index"], event["attempt"]
        if event["event"] == "start":
            started_at_ms[attempt] = event["unix_ms"]
        elif attempt in started_at_ms:
            planned_ms = job.run_times_ms[event["index"]] / speeds[event["agent"]]
            overruns.append(
                (event["unix_ms"] - started_at_ms[attempt] - planned_ms) / MS_PER_S
            )
    return overruns


def count_codes(answers):
    """Return the number of answers by result code."""
    return dict(sorted(Counter(answer.code for answer in answers).items()))


def _is_partial(answer):
    is_ok = answer.code == ResultCode.OK
    return answer.partial or (is_ok and not answer.whole)


def _count_double_starts(jobs_by_id, attempts_by_task, service):
    """Return the number of starts beyond the first that are not permitted retries.

    Only single requests of repeatable kinds may be retried. The retry budget limits
    the retries of all submissions together.
    """
    unpermitted = retries = 0
    for (job_id, _), attempts in attempts_by_task.items():
        job = jobs_by_id[job_id]
        may_retry = job.single and service.kinds[job.kind].repeatable
        distinct = len(set(attempts)) if may_retry else 1
        allowed = min(distinct, service.retry.max_attempts)
        unpermitted += len(attempts) - allowed
        retries += allowed - 1
    return unpermitted + max(0, retries - int(service.retry.budget * len(jobs_by_id)))
