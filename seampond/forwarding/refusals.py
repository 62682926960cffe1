"""Refusals: requests that a gateway answers itself."""

import enum
from http import HTTPStatus

from seampond.errors import SeampondError


@enum.unique
class Cause(enum.Enum):
    """Why a request was refused; the value is a metric label."""

    not_ready = 'not-ready'
    unproved = 'configuration-unproved'
    outdated = 'configuration-outdated'
    stopping = 'stopping'
    no_route = 'no-route'
    wrong_key = 'wrong-key'
    over_quota = 'over-quota'
    malformed = 'malformed-request'
    header_too_large = 'header-too-large'
    header_too_slow = 'header-too-slow'
    body_too_large = 'body-too-large'
    body_too_slow = 'body-too-slow'
    no_memory = 'no-memory'
    no_server = 'no-server'
    version_gone = 'version-gone'
    version_unknown = 'version-unknown'
    overload = 'overload'
    servers_backing_off = 'servers-resting'
    servers_limited = 'servers-limited'
    waited_too_long = 'waited-too-long'
    not_run = 'not-run'
    quarantined = 'quarantined'
    in_doubt = 'in-doubt'
    timeout = 'timeout'


_DEFAULT_STATUS = HTTPStatus.SERVICE_UNAVAILABLE

_STATUS = (
    (Cause.no_route, HTTPStatus.NOT_FOUND),
    (Cause.wrong_key, HTTPStatus.UNAUTHORIZED),
    (Cause.over_quota, HTTPStatus.TOO_MANY_REQUESTS),
    (Cause.malformed, HTTPStatus.BAD_REQUEST),
    (Cause.header_too_slow, HTTPStatus.REQUEST_TIMEOUT),
    (Cause.header_too_large, HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE),
    (Cause.body_too_large, HTTPStatus.REQUEST_ENTITY_TOO_LARGE),
    (Cause.body_too_slow, HTTPStatus.REQUEST_TIMEOUT),
    (Cause.in_doubt, HTTPStatus.BAD_GATEWAY),
    (Cause.timeout, HTTPStatus.GATEWAY_TIMEOUT),
)

# Callers rely on these statuses: the request did not run.
_NOT_RUN_STATUSES = (
    _DEFAULT_STATUS,
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.REQUEST_TIMEOUT,
)


class Refusal(SeampondError):
    """The gateway answers a request itself.

    Parameters
    ----------
    cause : Cause
        Reason for the refusal.
    retry_after_ms : int
        Time after which the caller may retry, 0 to send no such hint.

    """

    def __init__(
        self,
        cause: Cause,
        *,
        step: str,
        peer: str = '',
        retry_after_ms: int = 0,
    ) -> None:
        """Initialize the refusal."""
        super().__init__(cause.value, step=step, peer=peer)
        self.cause = cause
        self.retry_after_ms = retry_after_ms

    @property
    def guarantees_not_run(self) -> bool:
        """Whether the status guarantees that the request did not run."""
        return self.status in _NOT_RUN_STATUSES

    @property
    def closes_connection(self) -> bool:
        """Whether the rest of the request may still arrive."""
        return self.cause is Cause.body_too_slow

    @property
    def status(self) -> HTTPStatus:
        """The HTTP status of the answer.

        Examples
        --------
        >>> Refusal(Cause.overload, step='place').status.value
        503

        """
        return dict(_STATUS).get(self.cause, _DEFAULT_STATUS)
