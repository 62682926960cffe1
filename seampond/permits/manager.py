"""Requests, grants and reservations of permits for servers with a limit."""

import asyncio
import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.backend import Backend
from seampond.forwarding.retry_times import MAX_RETRY_AFTER_MS
from seampond.forwarding.server_limit import Permit, ServerLimit
from seampond.permits.issuer import PermitIssuer
from seampond.permits.messages import LimitReport, PermitReply, PermitRequest
from seampond.permits.owners import GatewayDirectory, LimitOwners
from seampond.permits.recent_reports import RecentReports, make_report
from seampond.sharing.hashing import hash_name

# Covers a few round trips between halls.
_REPLY_TIMEOUT_MS = 150
# Shorter, so that a retrying caller can still ask the owners of other servers.
_RETRY_REPLY_TIMEOUT_MS = 80
# Below both timeouts, so that one lost datagram costs no permit.
_RESEND_AFTER_MS = 40
# Delays the refusal of a caller.
_RESERVE_TIMEOUT_MS = 15
# Pause after an owner had no time left to reserve.
_RESERVATIONS_FULL_MS = 1000
# Pause in which gateways come to agree on the owner again.
_RETRY_REQUEST_MS = 300
# Interval of the probes for a stale limit, and how many gateways share them.
_PROBE_INTERVAL_MS = 1000
_PROBING_GATEWAYS = 8
_PROBE_JITTER = (0.5, 1.5)
_REQUEST_NUMBER_BITS = 48


def _ignore_outcome(outcome: str) -> None:
    """Ignore the outcome of a request."""


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """A request that its owner has not answered yet."""

    request: PermitRequest
    limit: ServerLimit


class PermitManager:
    """Grants permits for limits owned here and requests the others.

    Explanation
    -----------
    A limit applies to all gateways together and may be too small to divide
    among them.  One gateway, the owner, therefore holds the only token bucket
    of a server incarnation and grants its permits to the others.

    Parameters
    ----------
    apply_report : Callable[[int, float | None, int], ServerLimit | None]
        Applies another gateway's report of a limit, given the incarnation's
        key, the rate and the time of the report.  Returns the limit in force,
        None for an unknown server.
    request_heartbeat : Callable[[], None]
        Called to send the next heartbeat without delay.
    count : Callable[[str], None]
        Counts outcomes of permit requests.

    Attributes
    ----------
    send : Callable[[str, PermitRequest | PermitReply], None]
        Sends a message to the named gateway.
    on_reply : Callable[[], None]
        Called after an owner's reply to a permit request.

    """

    def __init__(
        self,
        gateways: GatewayDirectory,
        clock: Clock,
        apply_report: Callable[[int, float | None, int], ServerLimit | None],
        request_heartbeat: Callable[[], None],
        rng: random.Random,
        count: Callable[[str], None] = _ignore_outcome,
    ) -> None:
        """Start without buckets and pending requests."""
        self.send: Callable[[str, PermitRequest | PermitReply], None] = (
            _drop_message
        )
        self.on_reply: Callable[[], None] = _ignore_reply
        self._gateways = gateways
        self._clock = clock
        self._apply_report = apply_report
        self._request_heartbeat = request_heartbeat
        self._rng = rng
        self._count = count
        self._owners = LimitOwners(gateways)
        self._issuer = PermitIssuer(self._owners, clock)
        self._numbers = itertools.count(rng.getrandbits(_REQUEST_NUMBER_BITS))
        self._recent = RecentReports(gateways, clock)
        self._pending: dict[int, _PendingRequest] = {}
        self._reservations: dict[int, asyncio.Future[int]] = {}

    def may_send(self, backend: Backend, *, for_retry: bool = False) -> bool:
        """Return True if a permit can be acquired now."""
        limit = backend.signals.limit
        if limit.has_permit(self._clock.now()):
            return True
        key = hash_name(backend.server.incarnation)
        if not self._owners.is_local(key):
            return False
        return self._issuer.has_permit(key, limit, for_retry=for_retry)

    def acquire(
        self, backend: Backend, *, for_retry: bool = False
    ) -> Permit | None:
        """Remove and return a valid permit, None if there is none."""
        limit, now_ms = backend.signals.limit, self._clock.now()
        permit = limit.acquire_permit(now_ms)
        key = hash_name(backend.server.incarnation)
        if permit is None and self._owners.is_local(key):
            self.request(backend, 0, for_retry=for_retry)
            permit = limit.acquire_permit(now_ms)
        return permit

    def request(
        self, backend: Backend, max_wait_ms: int, *, for_retry: bool = False
    ) -> None:
        """Request a permit that becomes valid within `max_wait_ms`.

        Explanation
        -----------
        If this gateway owns the limit, the permit is added to it at once.
        """
        limit, now_ms = backend.signals.limit, self._clock.now()
        key = hash_name(backend.server.incarnation)
        limit.discard_expired(now_ms)
        if self._owners.is_local(key):
            wait_ms = self._issuer.grant(
                key, limit, max_wait_ms, for_retry=for_retry
            )
            if wait_ms is not None:
                self._count('own')
                limit.add_permit(now_ms, now_ms, wait_ms)
            return
        timeout_ms = _RETRY_REPLY_TIMEOUT_MS if for_retry else _REPLY_TIMEOUT_MS
        limit.requested_ms = now_ms
        limit.resend_at_ms = now_ms + _RESEND_AFTER_MS
        limit.reply_due_ms = now_ms + timeout_ms
        limit.is_for_retry = for_retry
        limit.request_number = next(self._numbers)
        request = replace(
            self._make_request(key, limit, limit.request_number),
            max_wait_ms=max_wait_ms,
            for_retry=for_retry,
        )
        self._pending[limit.request_number] = _PendingRequest(request, limit)
        self._send_request(request)

    async def reserve(self, backend: Backend) -> int | None:
        """Reserve a permit for a caller's retry.

        Returns
        -------
        int or None
            The milliseconds until the retry, None if the owner reserves
            nothing or does not reply in time.

        """
        limit, key = (
            backend.signals.limit,
            hash_name(backend.server.incarnation),
        )
        if self._owners.is_local(key):
            wait_ms = self._issuer.reserve(key, limit)
        else:
            wait_ms = await self._request_reservation(key, limit)
        self._count('reserved' if wait_ms else 'not-reserved')
        if wait_ms == MAX_RETRY_AFTER_MS:
            limit.reservations_full_until_ms = (
                self._clock.now() + _RESERVATIONS_FULL_MS
            )
        return wait_ms or None

    def available_ms(self, backend: Backend, *, for_retry: bool = False) -> int:
        """Return the time before which no further permit is expected."""
        limit, now_ms = backend.signals.limit, self._clock.now()
        key = hash_name(backend.server.incarnation)
        if self._owners.is_local(key):
            return self._issuer.available_ms(key, limit, for_retry=for_retry)
        self._check_pending(limit, now_ms)
        return limit.retry_available_ms if for_retry else limit.available_ms

    def probe_limit(self, backend: Backend) -> None:
        """Request a permit from time to time to keep a report up to date.

        Explanation
        -----------
        Only a response of the server shows whether its limit still applies,
        and the owner may have no requests to send.  The interval grows with
        the number of gateways, to bound their messages.
        """
        limit, now_ms = backend.signals.limit, self._clock.now()
        self._check_pending(limit, now_ms)
        is_due = limit.is_stale(now_ms) and now_ms >= limit.next_probe_ms
        if not is_due or limit.requested_ms is not None:
            return
        backoff = max(1, self._gateways.count / _PROBING_GATEWAYS)
        pause_ms = (
            _PROBE_INTERVAL_MS * backoff * self._rng.uniform(*_PROBE_JITTER)
        )
        # In a large fleet the first probe waits, since a limit becomes stale
        # at all gateways at once.
        is_first = not limit.next_probe_ms
        limit.next_probe_ms = now_ms + round(pause_ms)
        if is_first and backoff > 1:
            return
        self.request(backend, 0)

    def handle_request(self, request: PermitRequest) -> None:
        """Reply to another gateway's request."""
        now_ms = self._clock.now()
        limit = self._apply_report(
            request.incarnation,
            request.report.rate,
            now_ms - request.report.age_ms,
        )
        rate = request.report.rate if limit is None else limit.rate
        report = request.report if limit is None else make_report(limit, now_ms)
        reply = PermitReply(
            self._gateways.name,
            request.incarnation,
            request.number,
            report,
            is_granted=False,
            wait_ms=0 if rate is None else _RETRY_REQUEST_MS,
        )
        if rate is not None and self._owners.is_local(request.incarnation):
            reply = self._issuer.answer(request, reply, rate)
        self.send(request.name, reply)

    def handle_reply(self, reply: PermitReply) -> None:
        """Apply an owner's reply; ignore one that is no longer awaited."""
        reservation = self._reservations.pop(reply.number, None)
        pending = self._pending.pop(reply.number, None)
        if reservation is None and pending is None:
            return
        self._apply_report(
            reply.incarnation,
            reply.report.rate,
            self._clock.now() - reply.report.age_ms,
        )
        if reservation is not None and not reservation.done():
            reservation.set_result(reply.retry_after_ms)
        if pending is not None:
            self._apply_reply(pending.limit, reply)
            self.on_reply()

    def record_report(
        self, key: int, limit: ServerLimit, *, has_changed: bool
    ) -> None:
        """Record that a response to this gateway reported a limit."""
        self._recent.record(key, limit, has_changed=has_changed)
        self._open_bucket(key, limit)
        if has_changed:
            self._request_heartbeat()

    def collect_reports(self) -> Mapping[int, LimitReport]:
        """Return recent reports by incarnation key, for the heartbeat."""
        return self._recent.collect()

    def apply_reports(self, reports: Mapping[int, LimitReport]) -> None:
        """Apply the reports in another gateway's heartbeat."""
        now_ms = self._clock.now()
        for key, report in reports.items():
            limit = self._apply_report(key, report.rate, now_ms - report.age_ms)
            if limit is not None:
                self._open_bucket(key, limit)

    def expire(self) -> None:
        """Drop buckets owned elsewhere; resend or time out pending requests."""
        self._issuer.expire()
        now_ms = self._clock.now()
        for pending in list(self._pending.values()):
            self._check_pending(pending.limit, now_ms)

    def _open_bucket(self, key: int, limit: ServerLimit) -> None:
        if limit.is_set and self._owners.is_local(key):
            self._issuer.open_bucket(key, limit)

    def _make_request(
        self, key: int, limit: ServerLimit, number: int
    ) -> PermitRequest:
        report = make_report(limit, self._clock.now())
        return PermitRequest(
            self._gateways.name, key, number, report, max_wait_ms=0
        )

    def _send_request(self, request: PermitRequest) -> None:
        self.send(self._owners.find_owner(request.incarnation), request)

    async def _request_reservation(self, key: int, limit: ServerLimit) -> int:
        """Return the ms until the retry, 0 without a reply in time."""
        number = next(self._numbers)
        reservation: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self._reservations[number] = reservation
        request = replace(
            self._make_request(key, limit, number), is_reservation=True
        )
        try:
            async with asyncio.timeout(_RESERVE_TIMEOUT_MS / MS_PER_SECOND):
                self._send_request(request)
                return await reservation
        except TimeoutError:
            return 0
        finally:
            self._reservations.pop(number, None)

    def _apply_reply(self, limit: ServerLimit, reply: PermitReply) -> None:
        if limit.request_number != reply.number or limit.requested_ms is None:
            return
        self._count('given' if reply.is_granted else 'refused')
        now_ms = self._clock.now()
        if reply.is_granted:
            limit.add_permit(now_ms, limit.requested_ms, reply.wait_ms)
        else:
            limit.record_refusal(now_ms + reply.wait_ms)
        limit.requested_ms = None

    def _check_pending(self, limit: ServerLimit, now_ms: int) -> None:
        """Resend or time out the pending request of a limit if it is due."""
        if limit.requested_ms is None:
            return
        if now_ms >= limit.reply_due_ms:
            self._count('lost')
            self._pending.pop(limit.request_number, None)
            limit.requested_ms = None
            limit.record_refusal(now_ms + _RETRY_REQUEST_MS)
        elif now_ms >= limit.resend_at_ms:
            limit.resend_at_ms = limit.reply_due_ms
            request = self._pending[limit.request_number].request
            waited_ms = now_ms - limit.requested_ms
            max_wait_ms = max(0, request.max_wait_ms - waited_ms)
            self._send_request(replace(request, max_wait_ms=max_wait_ms))


def _drop_message(name: str, message: PermitRequest | PermitReply) -> None:
    """Drop a message while no transport is connected."""


def _ignore_reply() -> None:
    """Ignore replies by default."""
