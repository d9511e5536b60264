"""Exception for requests that the HTTP front end refuses."""

from hornbeamshore.base.codes import CODE_TABLE, RunState, refuse


class RequestRefused(Exception):  # noqa: N818
    """Request that is refused before submission, so that none of its tasks ran.

    Parameters
    ----------
    code : ResultCode
        Reason of the refusal.
    detail : str
        Names the invalid part and the violated rule; by default, the text of the code
        in `CODE_TABLE`.
    status : int, optional
        HTTP status where it differs from the one in `CODE_TABLE`.
    headers : tuple of (str, str)
        Additional headers of the response.
    run_state : RunState
        Reported run state; ``unknown`` for queries of an earlier job.
    """

    def __init__(
        self, code, detail="", *, status=None, headers=(), run_state=RunState.NOT_RUN
    ):
        super().__init__(detail)
        self.refusal = refuse(code, detail, run_state=run_state)
        self.status = CODE_TABLE[code].http_status if status is None else status
        self.headers = headers
