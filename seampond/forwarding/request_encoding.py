"""Encode requests to servers and filter the headers of callers."""

from seampond.forwarding.job import Job
from seampond.forwarding.models import HeaderNames

_NOT_FORWARDED = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
        b'authorization',
    )
)


def is_forwarded(name: bytes, names: HeaderNames) -> bool:
    """Return whether a header of a caller is forwarded to the server.

    Explanation
    -----------
    Headers with a reserved prefix may be commands to a server, so only those
    that describe a request are accepted from callers.  Other end-to-end
    headers are forwarded, except the caller's key.

    Parameters
    ----------
    name : bytes
        Name of the header in lower case.

    """
    if name in _NOT_FORWARDED:
        return False
    return name in names.caller_settable or not name.startswith(names.reserved)


def encode_request(
    job: Job, names: HeaderNames, instance: str, now_ms: int
) -> bytes:
    """Return the bytes of the request for one server.

    Explanation
    -----------
    The headers of the caller are filtered by :func:`is_forwarded`.  The
    deadline header holds the remaining time.
    """
    replaced = {names.last_event} if job.last_event else set()
    remaining_ms = max(1, job.max_wait_ms - (now_ms - job.arrived_ms))
    lines = [b'%b %b HTTP/1.1' % (job.method, job.target)]
    lines.extend(
        b'%b: %b' % (name, text)
        for name, text in job.headers
        if is_forwarded(name, names) and name not in replaced
    )
    lines.append(b'%b: %b' % (names.expect_instance, instance.encode()))
    lines.append(b'%b: %d' % (names.deadline, remaining_ms))
    if job.last_event:
        lines.append(b'%b: %b' % (names.last_event, job.last_event))
    if job.tenant is not None:
        lines.append(b'%b: %b' % (names.tenant, job.tenant.name.encode()))
    if job.body or job.method != b'GET':
        lines.append(b'content-length: %d' % len(job.body))
    lines.extend((b'', job.body))
    return b'\r\n'.join(lines)
