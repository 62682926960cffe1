"""What a gateway decides by: routes, tenants, pools and their limits."""

import enum
import hashlib
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field

_DIGEST_BYTES = 16
_HASH_KEY = secrets.token_bytes(_DIGEST_BYTES)


@enum.unique
class RequestKind(enum.Enum):
    """What may be done with a request a second time."""

    idempotent = 'idempotent'
    once = 'once'
    stream = 'stream'


@dataclass(frozen=True, slots=True)
class PoolShare:
    """The part of a route's traffic that goes to one pool."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One kind of work: where it goes and how long it may take.

    Parameters
    ----------
    timeout_ms : int
        The longest that a request is held, from its arrival.
    target_ms : int
        The time to the first byte within which an answer is in time.
    priority : int
        Its rank, 0 the highest.
    pause_ms : int
        The longest pause in a stream that is still in time, 0 for any.
    attempts : int
        The most servers that one request may be sent to.

    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[PoolShare, ...]
    timeout_ms: int
    target_ms: int
    priority: int
    attempts: int
    is_public: bool = False
    may_resume: bool = False
    pause_ms: int = 0

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RequestKind.idempotent or self.may_resume


@dataclass(frozen=True, slots=True)
class Tenant:
    """Who pays; `rate` and `burst` in units a second and units, 0: no limit."""

    name: str
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    units_per_request: int = 1
    counts_tokens: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """The servers that do the same work."""

    name: str
    connections_max: int
    is_engine: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send, and how long it may take.

    Parameters
    ----------
    header_timeout_ms : int
        From the first byte of a head to its end.
    idle_timeout_ms : int
        Without a byte, between two requests or inside a body.

    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


def digest_key(key: str) -> bytes:
    """Give the digest by which a key is looked up; differs by process."""
    return hashlib.blake2b(
        key.encode(), digest_size=_DIGEST_BYTES, key=_HASH_KEY
    ).digest()


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration, whole.

    Parameters
    ----------
    routes : Mapping[tuple[str, str], Route]
        By host and path prefix.
    keys : Mapping[bytes, Tenant]
        By :func:`digest_key` of each key.

    """

    version: int = 0
    routes: Mapping[tuple[str, str], Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    keys: Mapping[bytes, Tenant] = field(default_factory=dict)
    has_tenants: bool = False
    limits: RequestLimits = RequestLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Give the route of `host` with the longest prefix of `path`.

        Examples
        --------
        >>> Configuration().find_route('a.example', '/x/y') is None
        True

        """
        end = path.rfind('/')
        while end >= 0:
            route = self.routes.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def find_tenant(self, key: str) -> Tenant | None:
        """Give the tenant that holds `key`."""
        return self.keys.get(digest_key(key))


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """How headers are spelled at the border, in lower case.

    Parameters
    ----------
    reserved : tuple[bytes, ...]
        How the names of headers begin that only a gateway may set.
    caller_settable : frozenset[bytes]
        The reserved headers that a caller may set all the same.

    """

    request_id: bytes
    deadline: bytes
    tenant: bytes
    instance: bytes
    expect_instance: bytes
    stamp: bytes
    load: bytes
    not_run: bytes
    leaving: bytes
    limit: bytes
    tokens: bytes
    prompt: bytes
    last_event: bytes
    scheme: str
    reserved: tuple[bytes, ...] = ()
    caller_settable: frozenset[bytes] = frozenset()
