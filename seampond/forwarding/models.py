"""The configuration of a gateway: routes, tenants, pools, limits."""

import enum
import hashlib
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field

_DIGEST_BYTES = 16
_HASH_KEY = secrets.token_bytes(_DIGEST_BYTES)


@enum.unique
class RequestKind(enum.Enum):
    """Whether a request may be repeated or resumed."""

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
    """A route: its target pools, time-outs and priority.

    Parameters
    ----------
    timeout_ms : int
        Longest time from the arrival of a request to the end of its answer.
    target_ms : int
        Target time to the first byte.
    priority : int
        Priority, 0 is the highest.
    pause_ms : int
        Target for the longest gap in a stream, 0 for none.
    attempts : int
        Highest number of attempts of one request.

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
    def pools(self) -> tuple[str, ...]:
        """Names of its pools."""
        return tuple(share.pool for share in self.shares)

    @property
    def may_repeat(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.kind is RequestKind.idempotent or self.may_resume


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota.

    Parameters
    ----------
    rate : float
        Units a second, 0 for no limit.
    burst : float
        Capacity of the tenant's token bucket in units.
    default_units : int
        Units of a request of unknown token count, if tokens are counted.
    counts_tokens : bool
        Whether a unit is a token; otherwise it is a request.

    """

    name: str
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    default_units: int = 1
    counts_tokens: bool = False


@dataclass(frozen=True, slots=True)
class Pool:
    """A group of interchangeable servers."""

    name: str
    connections_max: int
    is_engine: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and duration of callers' requests.

    Parameters
    ----------
    header_timeout_ms : int
        Longest time from the first byte of a head to its end.
    idle_timeout_ms : int
        Longest time without a byte, between requests or in a body.

    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


def digest_key(key: str) -> bytes:
    """Return the digest of an API key; it differs between processes."""
    return hashlib.blake2b(
        key.encode(), digest_size=_DIGEST_BYTES, key=_HASH_KEY
    ).digest()


@dataclass(frozen=True)
class Configuration:
    """One complete version of the configuration.

    Parameters
    ----------
    routes : Mapping[tuple[str, str], Route]
        Routes by host and path prefix.
    keys : Mapping[bytes, Tenant]
        Tenants by :func:`digest_key` of their keys.

    """

    version: int = 0
    routes: Mapping[tuple[str, str], Route] = field(default_factory=dict)
    pools: Mapping[str, Pool] = field(default_factory=dict)
    keys: Mapping[bytes, Tenant] = field(default_factory=dict)
    has_tenants: bool = False
    limits: RequestLimits = RequestLimits()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

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
        """Return the tenant that holds `key`."""
        return self.keys.get(digest_key(key))


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of headers in lower case.

    Parameters
    ----------
    reserved : tuple[bytes, ...]
        Prefixes of the headers that only a gateway may set.
    resumes : bytes
        Names the request that brought the first event of a resumed stream.
    caller_settable : frozenset[bytes]
        Reserved headers that a caller may set too.

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
    resumes: bytes
    scheme: str
    reserved: tuple[bytes, ...] = ()
    caller_settable: frozenset[bytes] = frozenset()
