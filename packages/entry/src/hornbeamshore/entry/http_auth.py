"""Authentication of teams by bearer token."""

import hashlib
import hmac
from dataclasses import dataclass

from hornbeamshore.base.codes import ResultCode
from hornbeamshore.config.model import Team
from hornbeamshore.entry.http_errors import RequestRefused

_CHALLENGE = (("www-authenticate", 'Bearer realm="hornbeamshore"'),)


@dataclass(frozen=True, slots=True)
class Caller:
    """Authenticated team of a request."""

    name: str
    team: Team

    def may_use(self, service):
        """Return whether the team may use a service."""
        return not self.team.services or service in self.team.services


def authenticate(deployment, authorization):
    """Return the `Caller` that an ``Authorization`` header authenticates.

    Raises
    ------
    RequestRefused
        If the header is missing or its token belongs to no team.
    """
    scheme, _, token = (authorization or "").partition(" ")
    token = token.strip()
    if scheme.lower() != "bearer" or not token:
        raise _not_authenticated("the header Authorization: Bearer <token> is missing")
    digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
    caller = None
    # Compares all teams, so that the time doesn't reveal which of them matched.
    for name, team in deployment.teams.items():
        if hmac.compare_digest(digest.encode(), team.token_sha256.lower().encode()):
            caller = Caller(name, team)
    if caller is None:
        raise _not_authenticated(
            "the token belongs to no team of the configuration in force"
        )
    return caller


def _not_authenticated(detail):
    return RequestRefused(ResultCode.NOT_AUTHENTICATED, detail, headers=_CHALLENGE)
