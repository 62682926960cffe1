"""A request as bytes for one server, and which headers a caller may set."""

from seampond.forwarding.job import Job
from seampond.forwarding.models import HeaderNames

_HOP_HEADERS = frozenset(
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
    """Whether a header of a caller reaches the server.

    Explanation
    -----------
    Some headers are commands to a server: they hold memory, copy it or name
    another request's.  They are set by the gateways alone, and so is each
    header that a later version of a server may add beside them.  So of the
    reserved prefixes only the headers that describe a request are taken from
    a caller; other end-to-end headers pass, but for the caller's key.

    Parameters
    ----------
    name : bytes
        In lower case.

    """
    if name in _HOP_HEADERS:
        return False
    return name in names.caller_settable or not name.startswith(names.reserved)


def encode_request(
    job: Job, names: HeaderNames, instance: str, now_ms: int
) -> bytes:
    """Give the bytes of the request for one server.

    Explanation
    -----------
    The caller's headers are passed on as :func:`is_forwarded` says.  The
    server gets the time that is left.
    """
    replaced = {names.last_event} if job.last_event else set()
    left_ms = max(1, job.max_wait_ms - (now_ms - job.arrived_ms))
    lines = [b'%b %b HTTP/1.1' % (job.method, job.target)]
    lines.extend(
        b'%b: %b' % (name, text)
        for name, text in job.headers
        if is_forwarded(name, names) and name not in replaced
    )
    lines.append(b'%b: %b' % (names.expect_instance, instance.encode()))
    lines.append(b'%b: %d' % (names.deadline, left_ms))
    if job.last_event:
        lines.append(b'%b: %b' % (names.last_event, job.last_event))
    if job.tenant is not None:
        lines.append(b'%b: %b' % (names.tenant, job.tenant.name.encode()))
    if job.body or job.method != b'GET':
        lines.append(b'content-length: %d' % len(job.body))
    lines.extend((b'', job.body))
    return b'\r\n'.join(lines)
