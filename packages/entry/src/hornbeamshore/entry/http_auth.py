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
    """Team that a request was authenticated as."""

    name: str
    team: Team

    def may_use(self, service):
        """Return whether the team may use a service."""
        return not self.team.services or service in self.team.services


def authenticate(deployment, authorization):
    """Return the `Caller` of an ``Authorization`` header.

    Raises
    ------
    RequestRefused
        If the header is missing or its token belongs to no team.
    """
    scheme, _, token = (authorization or "").partition(" ")
    token = token.strip()
    if scheme.lower() != "bearer" or not token:
        raise _refusal("the header Authorization: Bearer <token> is missing")
    digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
    found = None
    # Each team is compared, so that the time tells nothing about the place of a match.
    for name, team in deployment.teams.items():
        if hmac.compare_digest(digest.encode(), team.token_sha256.lower().encode()):
            found = Caller(name, team)
    if found is None:
        raise _refusal("the token belongs to no team of the configuration in force")
    return found


def _refusal(detail):
    return RequestRefused(ResultCode.NOT_AUTHENTICATED, detail, headers=_CHALLENGE)
