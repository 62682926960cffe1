"""Parsing of the platform's configuration row into the gateway's models."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Any

import msgspec

from seampond.forwarding import models
from seampond.platform import names
from seampond.platform.rows import NonNegativeInt, decode_row

_KINDS = MappingProxyType(
    {
        'idempotent': models.RequestKind.idempotent,
        'non_idempotent': models.RequestKind.once,
        'streaming': models.RequestKind.stream,
    }
)
_DEFAULT_TARGET_MS = 1000
_DEFAULT_TIMEOUT_MS = 60_000
_DEFAULT_PRIORITY = 9


class _ConfigurationPart(
    msgspec.Struct, frozen=True, kw_only=True, rename='kebab'
):
    """Base of the row's models; unknown fields are ignored."""


class _TrafficSplit(_ConfigurationPart, frozen=True):
    service: str
    weight: float = 1


class _Route(_ConfigurationPart, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: int = _DEFAULT_TIMEOUT_MS
    target_latency_ms: int = _DEFAULT_TARGET_MS
    priority: int = _DEFAULT_PRIORITY
    service: str = ''
    traffic_split: tuple[_TrafficSplit, ...] = ()
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    target_gap_ms: int = 0


class _Service(_ConfigurationPart, frozen=True):
    name: str
    max_conns: int = 0
    engine: dict[str, Any] | None = None


class _Limits(_ConfigurationPart, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 10_000
    idle_timeout_ms: int = 15_000


class _Tenant(_ConfigurationPart, frozen=True):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    unit: str = ''
    plain_tokens: int = 1
    rate_per_s: float = 0
    burst: float = 0


class _Configuration(_ConfigurationPart, frozen=True):
    version: NonNegativeInt
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[_Tenant, ...] = ()


def _convert_route(route: _Route) -> models.Route:
    shares = tuple(
        models.PoolShare(split.service, split.weight)
        for split in route.traffic_split
        if split.weight > 0
    )
    kind = _KINDS.get(route.kind, models.RequestKind.once)
    return models.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=kind,
        shares=shares or (models.PoolShare(route.service, 1),),
        timeout_ms=route.timeout_ms,
        target_ms=route.target_latency_ms,
        priority=route.priority,
        attempts=max(1, route.max_attempts),
        is_public=route.public,
        may_resume=route.stream_resume and kind is models.RequestKind.stream,
        pause_ms=route.target_gap_ms,
    )


def _convert_tenant(tenant: _Tenant) -> models.Tenant:
    return models.Tenant(
        name=tenant.name,
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        default_units=tenant.plain_tokens,
        counts_tokens=tenant.unit == names.TOKENS_UNIT,
    )


def _index_keys(
    tenants: tuple[_Tenant, ...],
) -> Iterator[tuple[bytes, models.Tenant]]:
    for tenant in tenants:
        converted = _convert_tenant(tenant)
        for key in tenant.api_keys:
            yield models.digest_key(key), converted


def parse_configuration(content: bytes) -> models.Configuration:
    """Parse the row that holds the configuration.

    Parameters
    ----------
    content : bytes
        JSON text of the row.

    Raises
    ------
    PlatformError
        If the text is not a configuration; names the first invalid field.

    """
    parsed = decode_row(
        content, _Configuration, step='configuration', is_strict=False
    )
    routes = [_convert_route(route) for route in parsed.routes]
    pools = [
        models.Pool(
            service.name, service.max_conns, is_engine=bool(service.engine)
        )
        for service in parsed.services
    ]
    return models.Configuration(
        version=parsed.version,
        routes={(route.host, route.prefix): route for route in routes},
        pools={pool.name: pool for pool in pools},
        keys=dict(_index_keys(parsed.tenants)),
        has_tenants=bool(parsed.tenants),
        limits=models.RequestLimits(
            header_bytes=parsed.limits.max_header_bytes,
            body_bytes=parsed.limits.max_body_bytes,
            header_timeout_ms=parsed.limits.header_timeout_ms,
            idle_timeout_ms=parsed.limits.idle_timeout_ms,
        ),
    )
