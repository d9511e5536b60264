"""Exception with which the HTTP front end refuses a request."""

from hornbeamshore.base.codes import CODE_TABLE, RunState, refuse


class RequestRefused(Exception):  # noqa: N818
    """Request that is answered without being handed over, so its work did not run.

    Parameters
    ----------
    code : ResultCode
        Numbered reason.
    detail : str
        Sentence that names the place and the rule; empty for that of the table.
    status : int, optional
        HTTP status where it differs from the one in the table.
    headers : tuple of (str, str)
        Further headers of the answer.
    run_state : RunState
        What the answer says; ``unknown`` for questions about an earlier job.
    """

    def __init__(
        self, code, detail="", *, status=None, headers=(), run_state=RunState.NOT_RUN
    ):
        super().__init__(detail)
        self.refusal = refuse(code, detail, run_state=run_state)
        self.status = CODE_TABLE[code].http_status if status is None else status
        self.headers = headers
