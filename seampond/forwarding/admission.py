"""Admission of requests by configuration, route, key and quota."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from seampond.clock import Clock
from seampond.forwarding.caller_waits import CallerWaits
from seampond.forwarding.counts import parse_count
from seampond.forwarding.job import Headers, Job, parse_prompt
from seampond.forwarding.models import (
    Configuration,
    HeaderNames,
    RequestLimits,
    Route,
    Tenant,
)
from seampond.forwarding.refusals import Cause, Refusal
from seampond.quarantine import fingerprint, fingerprint_part

_STEP = 'admit'
_NOT_READY_RETRY_MS = 500
_UNPROVED_RETRY_MS = 1000
# By then this gateway should have read the newer configuration: a change is in
# force 0.08 s after its acknowledgement where 27 gateways hear each other.
_OUTDATED_RETRY_MS = 250
_DEADLINE_MS = 2000
_DEFAULT_MAX_WAIT_MS = 60_000
_MAX_WAIT_MS = 86_400_000
# Bounds the work for a prompt of many parts.
_PARTS_MAX = 32


def _never() -> bool:
    """Return False: no newer configuration is known."""
    return False


class ChargeFunction(Protocol):
    """Charge a tenant's quota."""

    def __call__(
        self, tenant: Tenant, units: float, rank: int, *, has_idle_slots: bool
    ) -> int:
        """Return 0 if charged, else the milliseconds until a retry."""


@dataclass(slots=True)
class ConfigurationState:
    """The configuration in force, and when it was last proved the newest.

    Parameters
    ----------
    proved_ms : int or None
        Latest time at which it was proved the newest, None for never.
    is_outdated : Callable[[], bool]
        Return True if a newer one is known that has not been read yet.
    deadline_ms : int
        Time after which an acknowledged configuration must be in force.

    """

    configuration: Configuration | None = None
    proved_ms: int | None = None
    is_outdated: Callable[[], bool] = _never
    deadline_ms: int = _DEADLINE_MS

    def may_deny(self, now_ms: int) -> bool:
        """Return True if requests that it does not allow may be denied.

        Explanation
        -----------
        A configuration that was the newest within the deadline is the newest
        that must be in force.
        """
        age_ms = self.proof_age_ms(now_ms)
        is_proved = age_ms is not None and age_ms <= self.deadline_ms
        return is_proved and not self.is_outdated()

    def proof_age_ms(self, now_ms: int) -> int | None:
        """Return how long ago it was proved the newest, None for never."""
        return None if self.proved_ms is None else now_ms - self.proved_ms


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request that has just arrived."""

    method: bytes
    target: bytes
    headers: Headers
    arrived_ms: int

    def get(self, name: bytes) -> bytes:
        """Return the first value of a header, empty if it is missing."""
        for header, text in self.headers:
            if header == name:
                return text
        return b''


def choose_pool(route: Route, rng: random.Random) -> str:
    """Return a pool of the route, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].pool
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].pool


class Admission:
    """Check requests against the configuration in force.

    Parameters
    ----------
    max_proof_age_ms : int or None
        Greatest age of the proof of the configuration for requests with a
        key, which may have been revoked since.  None for any age: revoked
        keys may then be served while the store is unreachable.
    charge : ChargeFunction
        Charge a quota for a request of a priority; return the wait in
        milliseconds if it is exhausted.
    has_spare_capacity : Callable[[str], bool]
        Return True if a pool has free slots and no queue.
    refund : Callable[[Tenant, float], None]
        Refund a charge.

    """

    def __init__(
        self,
        configuration_state: ConfigurationState,
        names: HeaderNames,
        clock: Clock,
        max_proof_age_ms: int | None,
        charge: ChargeFunction,
        refund: Callable[[Tenant, float], None],
        has_spare_capacity: Callable[[str], bool],
    ) -> None:
        """Start without a record of callers' waits."""
        self._configuration_state = configuration_state
        self._names = names
        self._clock = clock
        self.max_proof_age_ms = max_proof_age_ms
        self._charge = charge
        self._refund = refund
        self._has_spare_capacity = has_spare_capacity
        self._rng = random.Random()
        self._waits: dict[str, CallerWaits] = {}

    @property
    def limits(self) -> RequestLimits:
        """The limits on what a caller may send."""
        configuration = self._configuration_state.configuration
        return configuration.limits if configuration else RequestLimits()

    @property
    def id_header(self) -> bytes:
        """The name of the header with the request id."""
        return self._names.request_id

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        configuration = self._configuration_state.configuration
        return configuration.version if configuration else 0

    @property
    def proof_age_ms(self) -> int | None:
        """The age of the proof of the configuration, None without one."""
        return self._configuration_state.proof_age_ms(self._clock.now())

    @property
    def is_proved(self) -> bool:
        """Whether the configuration allows serving requests with a key."""
        if self.max_proof_age_ms is None:
            return True
        age_ms = self.proof_age_ms
        return age_ms is not None and age_ms <= self.max_proof_age_ms

    def check_proof(self, job: Job) -> None:
        """Refuse a request with a key once the proof is too old.

        Raises
        ------
        Refusal
            If a revoked key might be served.

        """
        if job.tenant is not None and not self.is_proved:
            raise Refusal(
                Cause.unproved, step='proof', retry_after_ms=_UNPROVED_RETRY_MS
            )

    def admit(self, head: RequestHead, body: bytes) -> Job:
        """Return the job for a request that the configuration allows.

        Raises
        ------
        Refusal
            If the request is not allowed.

        """
        configuration = self._configuration_state.configuration
        if configuration is None:
            raise Refusal(
                Cause.not_ready, step=_STEP, retry_after_ms=_NOT_READY_RETRY_MS
            )
        route = self._find_route(configuration, head)
        tenant = self._find_tenant(configuration, route, head)
        return self._make_job(head, body, route, tenant)

    def check(self, job: Job) -> None:
        """Check the proof of the configuration and charge the quota.

        Raises
        ------
        Refusal
            If the configuration is unproved or the quota exhausted.

        """
        self.check_proof(job)
        self._check_quota(job)

    def refund(self, job: Job) -> None:
        """Refund the charge of a request that no server has run."""
        if job.tenant is not None and job.charged_units:
            self._refund(job.tenant, job.charged_units)
            job.charged_units = 0

    def _find_route(
        self, configuration: Configuration, head: RequestHead
    ) -> Route:
        host = head.get(b'host').decode('latin-1').partition(':')[0].lower()
        path = head.target.partition(b'?')[0].decode('latin-1')
        route = configuration.find_route(host, path)
        if route is None:
            raise self._deny(Cause.no_route)
        return route

    def _find_tenant(
        self, configuration: Configuration, route: Route, head: RequestHead
    ) -> Tenant | None:
        if route.is_public or not configuration.has_tenants:
            return None
        credentials = head.get(b'authorization').decode('latin-1').split()
        tenant = None
        if (
            len(credentials) == 2
            and credentials[0].lower() == self._names.scheme
        ):
            tenant = configuration.find_tenant(credentials[1])
        if tenant is None:
            raise self._deny(Cause.wrong_key)
        return tenant

    def _deny(self, cause: Cause) -> Refusal:
        """Return the refusal of a request that the configuration denies.

        Explanation
        -----------
        Callers take 404 and 401 as final.  Where a newer configuration may
        allow the request, the caller should try another gateway instead.
        """
        if self._configuration_state.may_deny(self._clock.now()):
            return Refusal(cause, step=_STEP)
        return Refusal(
            Cause.outdated, step=_STEP, retry_after_ms=_OUTDATED_RETRY_MS
        )

    def _make_job(
        self,
        head: RequestHead,
        body: bytes,
        route: Route,
        tenant: Tenant | None,
    ) -> Job:
        names = self._names
        max_wait_ms = parse_count(head.get(names.deadline), _MAX_WAIT_MS)
        if max_wait_ms is None:
            max_wait_ms = _DEFAULT_MAX_WAIT_MS
        prompt = parse_prompt(head.get(names.tokens), head.get(names.prompt))
        priority = route.priority
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        timeout_ms = min(route.timeout_ms, max_wait_ms)
        waits = self._waits.setdefault(route.name, CallerWaits())
        waits.record(max_wait_ms)
        pool = choose_pool(route, self._rng)
        return Job(
            request_id=head.get(names.request_id),
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=body,
            route=route,
            tenant=tenant,
            pool=pool,
            priority=priority,
            arrived_ms=head.arrived_ms,
            max_wait_ms=max_wait_ms,
            deadline_ms=head.arrived_ms + timeout_ms,
            prompt=prompt,
            last_event=head.get(names.last_event),
            resumes=head.get(names.resumes),
            is_retry=waits.is_retry(max_wait_ms),
            fingerprint=fingerprint(
                head.method,
                head.get(b'host').lower(),
                head.target,
                tenant.name if tenant else '',
                body,
            ),
            part_fingerprints=tuple(
                fingerprint_part(pool, part)
                for part in prompt.shared_parts[:_PARTS_MAX]
            ),
        )

    def _check_quota(self, job: Job) -> None:
        tenant = job.tenant
        if tenant is None or not tenant.rate:
            return
        units = 1.0
        if tenant.counts_tokens:
            units = float(job.prompt.total or tenant.default_units)
        # Requests that state no tokens are small and need no low priority.
        rank = job.route.priority if job.prompt.total else 0
        wait_ms = self._charge(
            tenant,
            units,
            rank,
            has_idle_slots=self._has_spare_capacity(job.pool),
        )
        if wait_ms:
            raise Refusal(Cause.over_quota, step=_STEP, retry_after_ms=wait_ms)
        job.charged_units = units
