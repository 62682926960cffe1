"""Let a request in: size, configuration, route, key, quota."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from seampond.clock import Clock
from seampond.forwarding.job import Headers, Job, parse_prompt
from seampond.forwarding.models import (
    Configuration,
    HeaderNames,
    RequestLimits,
    Route,
    Tenant,
)
from seampond.forwarding.refusals import Cause, Refusal
from seampond.quarantine import fingerprint

_STEP = 'admit'
_NOT_READY_MS = 500
_STALE_MS = 1000
# Longer than a proof is old while gateways and store are well: 2.3 s and what
# a call takes.
_DENY_PROOF_MS = 4000
# By then another gateway is asked, or ours has read what it lacks: 0.08 s after
# a change was acknowledged where 27 gateways hear each other.
_OUTDATED_MS = 250
_DEFAULT_PATIENCE_MS = 60_000
_REPEAT_PART = 0.97


def _never() -> bool:
    """Hear of no newer configuration."""
    return False


class ChargeFunction(Protocol):
    """Charges a quota."""

    def __call__(
        self, tenant: Tenant, units: float, rank: int, *, has_idle_slots: bool
    ) -> int:
        """Give 0, or the milliseconds until there may be enough."""


@dataclass(slots=True)
class ConfigurationState:
    """The configuration in force, and when it was last proved the newest.

    Parameters
    ----------
    proved_ms : int or None
        The latest moment at which it was surely the newest, None for never.
    is_outdated : Callable[[], bool]
        Tells whether there is a newer one that we do not hold.

    """

    configuration: Configuration | None = None
    proved_ms: int | None = None
    is_outdated: Callable[[], bool] = _never

    def may_deny(self, now_ms: int) -> bool:
        """Tell whether what it does not allow is surely not allowed."""
        age_ms = self.proof_age_ms(now_ms)
        is_proved = age_ms is not None and age_ms <= _DENY_PROOF_MS
        return is_proved and not self.is_outdated()

    def proof_age_ms(self, now_ms: int) -> int | None:
        """Give how long ago it was proved the newest, None for never."""
        return None if self.proved_ms is None else now_ms - self.proved_ms


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request that has just come."""

    method: bytes
    target: bytes
    headers: Headers
    arrived_ms: int

    def get(self, name: bytes) -> bytes:
        """Give the first value of a header, empty if there is none."""
        for known, text in self.headers:
            if known == name:
                return text
        return b''


def choose_pool(route: Route, rng: random.Random) -> str:
    """Give a pool of the route, each as often as its weight says."""
    if len(route.shares) == 1:
        return route.shares[0].pool
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].pool


class Admission:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    max_proof_age_ms : int or None
        How old the proof of the configuration may be for a request with a
        key, which may have been taken away since; None for any age, where a
        removed key may be served while the store cannot be reached.
    charge : ChargeFunction
        Charges a quota for work of an urgency; gives the wait in
        milliseconds where it is used up.
    has_spare_capacity : Callable[[str], bool]
        Tells whether the servers of a pool have places that nobody waits for.
    refund : Callable[[Tenant, float], None]
        Takes a charge back.

    """

    def __init__(
        self,
        belief: ConfigurationState,
        names: HeaderNames,
        clock: Clock,
        max_proof_age_ms: int | None,
        charge: ChargeFunction,
        refund: Callable[[Tenant, float], None],
        has_spare_capacity: Callable[[str], bool],
    ) -> None:
        """Keep the parts."""
        self._belief = belief
        self._names = names
        self._clock = clock
        self.max_proof_age_ms = max_proof_age_ms
        self._charge = charge
        self._refund = refund
        self._has_spare_capacity = has_spare_capacity
        self._rng = random.Random()
        # By route, the longest that a caller was ready to wait.
        self._longest: dict[str, int] = {}

    @property
    def limits(self) -> RequestLimits:
        """What a caller may send now."""
        configuration = self._belief.configuration
        return configuration.limits if configuration else RequestLimits()

    @property
    def id_header(self) -> bytes:
        """The header that names a request."""
        return self._names.request_id

    @property
    def version(self) -> int:
        """The version of the configuration in force, 0 for none."""
        configuration = self._belief.configuration
        return configuration.version if configuration else 0

    @property
    def proof_age_ms(self) -> int | None:
        """How long ago the configuration was proved newest, None for never."""
        return self._belief.proof_age_ms(self._clock.now())

    @property
    def is_proved(self) -> bool:
        """Whether requests with a key may be served by it."""
        if self.max_proof_age_ms is None:
            return True
        age_ms = self.proof_age_ms
        return age_ms is not None and age_ms <= self.max_proof_age_ms

    def check_proof(self, job: Job) -> None:
        """Refuse a request with a key once the proof is too old.

        Raises
        ------
        Refusal
            If a key that was taken away might still be served.

        """
        if job.tenant is not None and not self.is_proved:
            raise Refusal(
                Cause.unproved, step='proof', retry_after_ms=_STALE_MS
            )

    def admit(self, arrival: RequestHead, body: bytes) -> Job:
        """Make the job of a request that the configuration allows.

        Raises
        ------
        Refusal
            If it may not.

        """
        configuration = self._belief.configuration
        if configuration is None:
            raise Refusal(
                Cause.not_ready, step=_STEP, retry_after_ms=_NOT_READY_MS
            )
        route = self._find_route(configuration, arrival)
        tenant = self._find_tenant(configuration, route, arrival)
        return self._make_job(arrival, body, route, tenant)

    def check(self, job: Job) -> None:
        """Check what may change from one request to the next.

        Raises
        ------
        Refusal
            If the configuration is unproved or the quota is used up.

        """
        self.check_proof(job)
        self._check_quota(job)

    def refund(self, job: Job) -> None:
        """Take the charge of a request back that no server has run."""
        if job.tenant is not None and job.charged_units:
            self._refund(job.tenant, job.charged_units)
            job.charged_units = 0

    def _find_route(
        self, configuration: Configuration, arrival: RequestHead
    ) -> Route:
        host = arrival.get(b'host').decode('latin-1').partition(':')[0].lower()
        path = arrival.target.partition(b'?')[0].decode('latin-1')
        route = configuration.find_route(host, path)
        if route is None:
            raise self._deny(Cause.no_route)
        return route

    def _find_tenant(
        self, configuration: Configuration, route: Route, arrival: RequestHead
    ) -> Tenant | None:
        if route.is_public or not configuration.has_tenants:
            return None
        words = arrival.get(b'authorization').decode('latin-1').split()
        tenant = None
        if len(words) == 2 and words[0].lower() == self._names.scheme:
            tenant = configuration.find_tenant(words[1])
        if tenant is None:
            raise self._deny(Cause.wrong_key)
        return tenant

    def _deny(self, cause: Cause) -> Refusal:
        """Give why a caller is turned away whom our configuration denies.

        Explanation
        -----------
        A caller takes 404 and 401 as final.  Where a newer configuration may
        allow what ours does not, it should ask another gateway.
        """
        if self._belief.may_deny(self._clock.now()):
            return Refusal(cause, step=_STEP)
        return Refusal(Cause.outdated, step=_STEP, retry_after_ms=_OUTDATED_MS)

    def _make_job(
        self,
        arrival: RequestHead,
        body: bytes,
        route: Route,
        tenant: Tenant | None,
    ) -> Job:
        names = self._names
        patience = arrival.get(names.deadline)
        max_wait_ms = _DEFAULT_PATIENCE_MS
        if patience.isdigit():
            max_wait_ms = int(patience)
        prompt = parse_prompt(
            arrival.get(names.tokens), arrival.get(names.prompt)
        )
        priority = route.priority
        if tenant is not None and tenant.priority is not None:
            priority = tenant.priority
        held_ms = min(route.timeout_ms, max_wait_ms)
        return Job(
            request_id=arrival.get(names.request_id),
            method=arrival.method,
            target=arrival.target,
            headers=arrival.headers,
            body=body,
            route=route,
            tenant=tenant,
            pool=choose_pool(route, self._rng),
            priority=priority,
            arrived_ms=arrival.arrived_ms,
            max_wait_ms=max_wait_ms,
            deadline_ms=arrival.arrived_ms + held_ms,
            prompt=prompt,
            last_event=arrival.get(names.last_event),
            is_retry=self._is_retry(route, max_wait_ms),
            fingerprint=fingerprint(
                arrival.method,
                arrival.get(b'host').lower(),
                arrival.target,
                tenant.name if tenant else '',
                body,
            ),
        )

    def _is_retry(self, route: Route, max_wait_ms: int) -> bool:
        """Tell whether a caller has used up a part of its time already.

        Explanation
        -----------
        Each try has an id of its own.  But callers of one kind of work are
        about equally patient, and one that was turned away and comes back
        says that it waits no longer than what is left.
        """
        longest_ms = max(self._longest.get(route.name, 0), max_wait_ms)
        self._longest[route.name] = longest_ms
        return max_wait_ms < longest_ms * _REPEAT_PART

    def _check_quota(self, job: Job) -> None:
        tenant = job.tenant
        if tenant is None or not tenant.rate:
            return
        units = 1.0
        if tenant.counts_tokens:
            units = float(job.prompt.total or tenant.units_per_request)
        # Where no tokens are named, little is asked: no reason to put it off.
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
