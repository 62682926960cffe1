"""Why a gateway answers a request itself, and with what."""

import enum
from http import HTTPStatus

from seampond.errors import SeampondError


@enum.unique
class Cause(enum.Enum):
    """Each cause; the value is the label of the counter."""

    not_ready = 'not-ready'
    unproved = 'configuration-unproved'
    outdated = 'configuration-outdated'
    stopping = 'stopping'
    no_route = 'no-route'
    wrong_key = 'wrong-key'
    over_quota = 'over-quota'
    header_too_large = 'header-too-large'
    body_too_large = 'body-too-large'
    body_too_slow = 'body-too-slow'
    no_memory = 'no-memory'
    no_server = 'no-server'
    overload = 'overload'
    servers_backing_off = 'servers-resting'
    servers_limited = 'servers-limited'
    waited_too_long = 'waited-too-long'
    not_run = 'not-run'
    quarantined = 'quarantined'
    in_doubt = 'in-doubt'
    timeout = 'timeout'


_LATER = HTTPStatus.SERVICE_UNAVAILABLE

_STATUS = (
    (Cause.no_route, HTTPStatus.NOT_FOUND),
    (Cause.wrong_key, HTTPStatus.UNAUTHORIZED),
    (Cause.over_quota, HTTPStatus.TOO_MANY_REQUESTS),
    (Cause.header_too_large, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
    (Cause.body_too_large, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    (Cause.body_too_slow, HTTPStatus.REQUEST_TIMEOUT),
    (Cause.in_doubt, HTTPStatus.BAD_GATEWAY),
    (Cause.timeout, HTTPStatus.GATEWAY_TIMEOUT),
)

# Callers take these as a promise, and may send the request again.
_NOT_RUN = (
    _LATER,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.REQUEST_TIMEOUT,
)
# The rest of the body may still come: the connection is of no more use.
_BODY_UNREAD = (Cause.body_too_large, Cause.body_too_slow)


class Refusal(SeampondError):
    """A request that gets its final answer from the gateway.

    Parameters
    ----------
    cause : Cause
        Why.
    retry_after_ms : int
        When to come back, where the request has not run.

    """

    def __init__(
        self,
        cause: Cause,
        *,
        step: str,
        peer: str = '',
        retry_after_ms: int = 0,
    ) -> None:
        """Keep the cause for the answer, the counter and the log."""
        super().__init__(cause.value, step=step, peer=peer)
        self.cause = cause
        self.retry_after_ms = retry_after_ms

    @property
    def guarantees_not_run(self) -> bool:
        """Whether the status promises that the request never ran."""
        return self.status in _NOT_RUN

    @property
    def closes_connection(self) -> bool:
        """Whether the caller's body was not read to its end."""
        return self.cause in _BODY_UNREAD

    @property
    def status(self) -> HTTPStatus:
        """The status of the answer.

        Examples
        --------
        >>> Refusal(Cause.overload, step='place').status.value
        503

        """
        return dict(_STATUS).get(self.cause, _LATER)
