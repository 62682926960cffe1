"""Who gives the permits for a server with a limit, and how we come by them."""

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

# A few round trips between halls.
_REPLY_MS = 150
# Leaves a caller that has come back time to ask other owners.
_RETURN_REPLY_MS = 80
# Before either, so that one lost datagram costs no permit.
_RESEND_MS = 40
# A caller that is turned away waits so long, for two owners at the most.
_RESERVE_MS = 15
# How long an owner that has no time left is not asked for another.
_FULL_MS = 1000
# By then gateways agree again who owns a limit.
_ASK_AGAIN_MS = 300
# How often all gateways together ask only to hear whether a limit holds on,
# and how many of them do.
_TRY_MS = 1000
_TRIERS = 8
_SPREAD = (0.5, 1.5)
_NUMBER_BITS = 48


def _count_nothing(outcome: str) -> None:
    """Count no outcomes."""


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """One that an owner has not answered yet."""

    ask: PermitRequest
    limit: ServerLimit


class PermitManager:
    """Gives permits where we own a limit, and asks the owner elsewhere.

    Explanation
    -----------
    The bound on a limit is one over all gateways, and may be less than one
    request of each.  So one gateway keeps the only bucket of a server's life
    and hands out what is in it: the one that comes first for that life by key
    among those that are heard.  All work it out alike.  Where they do not for
    a moment, each new owner begins at nothing.  While there are gateways that
    are silent, and may be owners elsewhere, or that know nothing of permits,
    the others give their part of the limit.

    Parameters
    ----------
    apply_report : Callable[[int, float | None, int], ServerLimit | None]
        Takes what another gateway knows of a limit, by the key of the life;
        gives what holds, None for a server that is not known.
    request_heartbeat : Callable[[], None]
        Called where the others should hear of us at once.
    count : Callable[[str], None]
        Counts what became of asking for a permit.

    Attributes
    ----------
    send : Callable[[str, PermitRequest | PermitReply], None]
        Sends to a gateway, by its name.
    on_reply : Callable[[], None]
        Called when an owner has answered.

    """

    def __init__(
        self,
        gateways: GatewayDirectory,
        clock: Clock,
        apply_report: Callable[[int, float | None, int], ServerLimit | None],
        request_heartbeat: Callable[[], None],
        rng: random.Random,
        count: Callable[[str], None] = _count_nothing,
    ) -> None:
        """Start owning nothing."""
        self.send: Callable[[str, PermitRequest | PermitReply], None] = (
            _send_nothing
        )
        self.on_reply: Callable[[], None] = _note_nothing
        self._gateways = gateways
        self._clock = clock
        self._apply_report = apply_report
        self._request_heartbeat = request_heartbeat
        self._rng = rng
        self._count = count
        self._owners = LimitOwners(gateways)
        self._issuer = PermitIssuer(self._owners, clock)
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))
        self._recent = RecentReports(gateways, clock)
        self._pending: dict[int, _PendingRequest] = {}
        self._reservations: dict[int, asyncio.Future[int]] = {}

    def may_send(self, backend: Backend, *, for_retry: bool = False) -> bool:
        """Whether a request may be sent to a server with a limit now."""
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
        """Take up a permit to send now."""
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
        """Ask for a permit that holds after so long at the latest."""
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
        reply_ms = _RETURN_REPLY_MS if for_retry else _REPLY_MS
        limit.requested_ms = now_ms
        limit.resend_at_ms = now_ms + _RESEND_MS
        limit.reply_due_ms = now_ms + reply_ms
        limit.is_for_retry = for_retry
        limit.request_number = next(self._numbers)
        ask = replace(
            self._make_ask(key, limit, limit.request_number),
            max_wait_ms=max_wait_ms,
            for_retry=for_retry,
        )
        self._pending[limit.request_number] = _PendingRequest(ask, limit)
        self._send_ask(ask)

    async def reserve(self, backend: Backend) -> int | None:
        """Have a permit kept for a caller that is told to come back.

        Returns
        -------
        int or None
            After how many milliseconds, None where the owner does not answer
            in time.

        """
        limit, key = (
            backend.signals.limit,
            hash_name(backend.server.incarnation),
        )
        if self._owners.is_local(key):
            wait_ms = self._issuer.reserve(key, limit)
        else:
            wait_ms = await self._ask_to_reserve(key, limit)
        self._count('reserved' if wait_ms else 'not-reserved')
        if wait_ms == MAX_RETRY_AFTER_MS:
            limit.reservations_full_until_ms = self._clock.now() + _FULL_MS
        return wait_ms or None

    def available_ms(self, backend: Backend, *, for_retry: bool = False) -> int:
        """Give the time before which there is no other permit for us."""
        limit, now_ms = backend.signals.limit, self._clock.now()
        key = hash_name(backend.server.incarnation)
        if self._owners.is_local(key):
            return self._issuer.available_ms(key, limit, for_retry=for_retry)
        self._check_pending(limit, now_ms)
        return limit.retry_available_ms if for_retry else limit.available_ms

    def probe_limit(self, backend: Backend) -> None:
        """Ask now and then, for a request that tells if the limit holds on.

        Explanation
        -----------
        The owner may have no requests for that server.  Asked for by each of
        many gateways, its permits would cost more words than they are worth.
        """
        limit, now_ms = backend.signals.limit, self._clock.now()
        self._check_pending(limit, now_ms)
        is_due = limit.is_stale(now_ms) and now_ms >= limit.next_probe_ms
        if not is_due or limit.requested_ms is not None:
            return
        spread = max(1, self._gateways.count / _TRIERS)
        pause_ms = _TRY_MS * spread * self._rng.uniform(*_SPREAD)
        # Where all hear at once that a limit is old, not all should ask.
        is_first = not limit.next_probe_ms
        limit.next_probe_ms = now_ms + round(pause_ms)
        if is_first and spread > 1:
            return
        self.request(backend, 0)

    def handle_request(self, ask: PermitRequest) -> None:
        """Answer a gateway that asks for a permit."""
        now_ms = self._clock.now()
        limit = self._apply_report(
            ask.incarnation, ask.report.rate, now_ms - ask.report.age_ms
        )
        rate = ask.report.rate if limit is None else limit.rate
        report = ask.report if limit is None else make_report(limit, now_ms)
        reply = PermitReply(
            self._gateways.name,
            ask.incarnation,
            ask.number,
            report,
            is_granted=False,
            wait_ms=0 if rate is None else _ASK_AGAIN_MS,
        )
        if rate is not None and self._owners.is_local(ask.incarnation):
            reply = self._issuer.answer(ask, reply, rate)
        self.send(ask.name, reply)

    def handle_reply(self, reply: PermitReply) -> None:
        """Take an owner's answer."""
        reserving = self._reservations.pop(reply.number, None)
        question = self._pending.pop(reply.number, None)
        if reserving is None and question is None:
            return
        self._apply_report(
            reply.incarnation,
            reply.report.rate,
            self._clock.now() - reply.report.age_ms,
        )
        if reserving is not None and not reserving.done():
            reserving.set_result(reply.retry_after_ms)
        if question is not None:
            self._take_answer(question.limit, reply)
            self.on_reply()

    def record_report(
        self, key: int, limit: ServerLimit, *, has_changed: bool
    ) -> None:
        """Note that an answer to us has spoken of a limit."""
        self._recent.note(key, limit, has_changed=has_changed)
        self._open_bucket(key, limit)
        if has_changed:
            self._request_heartbeat()

    def collect_reports(self) -> Mapping[int, LimitReport]:
        """Give what answers to us have said of late, by key of the life."""
        return self._recent.collect_reports()

    def apply_reports(self, reports: Mapping[int, LimitReport]) -> None:
        """Take what another gateway has heard."""
        now_ms = self._clock.now()
        for key, report in reports.items():
            limit = self._apply_report(key, report.rate, now_ms - report.age_ms)
            if limit is not None:
                self._open_bucket(key, limit)

    def expire(self) -> None:
        """Forget what others own now, and asks that nobody has answered."""
        self._issuer.expire()
        now_ms = self._clock.now()
        for question in list(self._pending.values()):
            self._check_pending(question.limit, now_ms)

    def _open_bucket(self, key: int, limit: ServerLimit) -> None:
        if limit.is_set and self._owners.is_local(key):
            self._issuer.open_bucket(key, limit)

    def _make_ask(
        self, key: int, limit: ServerLimit, number: int
    ) -> PermitRequest:
        report = make_report(limit, self._clock.now())
        return PermitRequest(
            self._gateways.name, key, number, report, max_wait_ms=0
        )

    def _send_ask(self, ask: PermitRequest) -> None:
        self.send(self._owners.find(ask.incarnation), ask)

    async def _ask_to_reserve(self, key: int, limit: ServerLimit) -> int:
        """Ask the owner; give 0 where it does not answer in time."""
        number = next(self._numbers)
        reserving: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )
        self._reservations[number] = reserving
        ask = replace(self._make_ask(key, limit, number), is_reservation=True)
        try:
            async with asyncio.timeout(_RESERVE_MS / MS_PER_SECOND):
                self._send_ask(ask)
                return await reserving
        except TimeoutError:
            return 0
        finally:
            self._reservations.pop(number, None)

    def _take_answer(self, limit: ServerLimit, reply: PermitReply) -> None:
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
        """Ask an owner again that has not answered, then wait no longer."""
        if limit.requested_ms is None:
            return
        if now_ms >= limit.reply_due_ms:
            self._count('lost')
            self._pending.pop(limit.request_number, None)
            limit.requested_ms = None
            limit.record_refusal(now_ms + _ASK_AGAIN_MS)
        elif now_ms >= limit.resend_at_ms:
            limit.resend_at_ms = limit.reply_due_ms
            ask = self._pending[limit.request_number].ask
            waited_ms = now_ms - limit.requested_ms
            max_wait_ms = max(0, ask.max_wait_ms - waited_ms)
            self._send_ask(replace(ask, max_wait_ms=max_wait_ms))


def _send_nothing(name: str, message: PermitRequest | PermitReply) -> None:
    """Send nothing."""


def _note_nothing() -> None:
    """Note nothing."""
