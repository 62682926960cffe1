"""Requests and grants of permits with lost, late and duplicate messages."""

import asyncio
import random
import unittest

from seampond.clock import ManualClock
from seampond.errors import ForeignMessageError
from seampond.forwarding.backend import Backend
from seampond.forwarding.backends import Backends
from seampond.forwarding.server_signals import ServerSignals
from seampond.permits.manager import PermitManager
from seampond.permits.messages import (
    LimitReport,
    PermitReply,
    PermitRequest,
    decode_permit,
    encode_permit,
)
from seampond.sharing import Heartbeat, Peers, hash_name
from seampond.sharing.heartbeats import decode
from seampond.testing.gateways import NAMES, build_server, get_backend

_NOW_MS = 50_000
_RATE = 2.0
_SECOND_MS = 1000
_AFTER_TIMEOUT_MS = 200
_AFTER_RESEND_MS = 50


class _Gateway:
    """One gateway and the messages that it has sent."""

    def __init__(
        self, name: str, others: tuple[str, ...], clock: ManualClock
    ) -> None:
        self.clock = clock
        self.peers = Peers(name, clock)
        self.peers.apply_rows((other, 'x:1') for other in others)
        self.others = others
        self.sequence = 0
        self.receive_heartbeats()
        self.backends = Backends(clock, NAMES.request_id, hash_name=hash_name)
        self.backends.replace_all([build_server('i-1', started_ms=7)])
        self.outcomes: list[str] = []
        self.manager = PermitManager(
            self.peers,
            clock,
            self.backends.apply_limit_report,
            lambda: None,
            random.Random(1),
            self.outcomes.append,
        )
        self.backends.on_limit = self.manager.record_report
        self.sent: list[tuple[str, PermitRequest | PermitReply]] = []
        self.manager.send = lambda *sent: self.sent.append(sent)

    @property
    def backend(self) -> Backend:
        """The only backend."""
        return get_backend(self.backends, 'i-1')

    @property
    def is_owner(self) -> bool:
        """Whether this gateway owns the limit of the server."""
        return self.manager.may_send(self.backend)

    def receive_heartbeats(self) -> None:
        """Receive a heartbeat of each other gateway."""
        for other in self.others:
            self.receive_heartbeat(other)

    def receive_heartbeat(
        self, other: str, *, issues_permits: bool = True
    ) -> None:
        """Receive a heartbeat of another gateway."""
        self.sequence += 1
        self.peers.apply_heartbeat(
            Heartbeat(other, 1, self.sequence, issues_permits=issues_permits)
        )

    def report_limit(self, rate: float | None) -> None:
        """Receive a response that reports a limit."""
        signals = ServerSignals(limit=rate)
        self.backends.apply_signals(self.backend, signals, self.clock.now())


class PermitManagerTest(unittest.TestCase):
    """Two gateways, one of which owns the limit of a server."""

    def setUp(self) -> None:
        """Create both gateways and determine the owner."""
        self.clock = ManualClock(_NOW_MS)
        self.gateways = [
            _Gateway('g1', ('g2',), self.clock),
            _Gateway('g2', ('g1',), self.clock),
        ]
        for gateway in self.gateways:
            gateway.report_limit(_RATE)
        self.advance(_SECOND_MS)
        is_first = self.gateways[0].is_owner
        self.owner = self.gateways[not is_first]
        self.requester = self.gateways[is_first]

    def advance(self, duration_ms: int) -> None:
        """Advance the clock and exchange heartbeats."""
        self.clock.advance(duration_ms)
        for gateway in self.gateways:
            gateway.receive_heartbeats()

    def deliver_requests(self) -> None:
        """Deliver the requests to the owner, and its replies."""
        for _, request in self.requester.sent:
            assert isinstance(request, PermitRequest)
            self.owner.manager.handle_request(request)
        self.requester.sent.clear()
        self.deliver_replies()

    def deliver_replies(self) -> None:
        """Deliver the replies of the owner."""
        for _, reply in self.owner.sent:
            assert isinstance(reply, PermitReply)
            self.requester.manager.handle_reply(reply)
        self.owner.sent.clear()

    def reserve(self) -> int | None:
        """Reserve a permit by the requester."""

        async def work() -> int | None:
            reservation = asyncio.create_task(
                self.requester.manager.reserve(self.requester.backend)
            )
            await asyncio.sleep(0)
            self.deliver_requests()
            return await reservation

        return asyncio.run(work())

    def reply_plain(self, request: PermitRequest) -> None:
        """Reply like a release without reservations."""
        reply = PermitReply(
            'g', request.incarnation, request.number, request.report, False, 200
        )
        self.owner.sent.append((request.name, reply))

    def test_owner_grants_one_request_per_permit(self) -> None:
        """Guards against a permit that admits a second request."""
        self.assertFalse(
            self.requester.manager.may_send(self.requester.backend)
        )
        self.requester.manager.request(self.requester.backend, 0)
        self.deliver_requests()
        self.assertTrue(self.requester.manager.may_send(self.requester.backend))
        permit = self.requester.manager.acquire(self.requester.backend)
        assert permit is not None
        self.assertTrue(permit.may_send(self.clock.now()))
        self.assertFalse(
            self.requester.manager.may_send(self.requester.backend)
        )
        self.assertEqual(self.requester.outcomes, ['given'])

    def test_permit_granted_ahead_is_valid_after_wait(self) -> None:
        """Guards against its use too early or after expiry."""
        while self.owner.manager.may_send(self.owner.backend):
            self.owner.manager.acquire(self.owner.backend)
        self.requester.manager.request(self.requester.backend, _SECOND_MS)
        self.deliver_requests()
        self.assertFalse(
            self.requester.manager.may_send(self.requester.backend)
        )
        self.advance(500)
        self.assertTrue(self.requester.manager.may_send(self.requester.backend))
        self.advance(500)
        self.assertFalse(
            self.requester.manager.may_send(self.requester.backend)
        )

    def test_refusal_reports_wait(self) -> None:
        """Guards against requests that cannot be granted yet."""
        while self.owner.manager.may_send(self.owner.backend):
            self.owner.manager.acquire(self.owner.backend)
        self.requester.manager.request(self.requester.backend, 100)
        self.deliver_requests()
        available_ms = self.requester.manager.available_ms(
            self.requester.backend
        )
        self.assertGreater(available_ms, self.clock.now() + 100)
        self.assertEqual(self.requester.outcomes, ['refused'])

    def test_duplicate_messages_add_one_permit(self) -> None:
        """Guards against a permit that is used twice."""
        self.requester.manager.request(self.requester.backend, 0)
        self.requester.sent *= 2
        self.deliver_requests()
        self.assertEqual(len(self.requester.backend.signals.limit.permits), 1)

    def test_late_reply_is_ignored(self) -> None:
        """Guards against a permit that is added after the timeout."""
        self.requester.manager.request(self.requester.backend, 0)
        for _, request in self.requester.sent:
            assert isinstance(request, PermitRequest)
            self.owner.manager.handle_request(request)
        self.advance(_AFTER_TIMEOUT_MS)
        available_ms = self.requester.manager.available_ms(
            self.requester.backend
        )
        self.assertGreater(available_ms, self.clock.now())
        self.deliver_replies()
        self.assertFalse(
            self.requester.manager.may_send(self.requester.backend)
        )
        self.assertEqual(self.requester.outcomes, ['lost'])

    def test_resent_request_gets_same_reply(self) -> None:
        """Guards against a permit that is lost with the reply."""
        while self.owner.manager.may_send(self.owner.backend):
            self.owner.manager.acquire(self.owner.backend)
        self.requester.manager.request(self.requester.backend, _SECOND_MS)
        request = self.requester.sent[-1][1]
        assert isinstance(request, PermitRequest)
        self.owner.manager.handle_request(request)
        lost = self.owner.sent.pop()[1]
        self.requester.sent.clear()
        self.advance(_AFTER_RESEND_MS)
        self.requester.manager.expire()
        resent = self.requester.sent[-1][1]
        assert isinstance(resent, PermitRequest)
        self.owner.manager.handle_request(resent)
        reply = self.owner.sent[-1][1]
        assert isinstance(lost, PermitReply)
        assert isinstance(reply, PermitReply)
        self.assertTrue(reply.is_granted)
        self.assertEqual(reply.wait_ms, lost.wait_ms - _AFTER_RESEND_MS)
        self.deliver_replies()
        self.assertEqual(len(self.requester.backend.signals.limit.permits), 1)

    def test_reply_updates_requester(self) -> None:
        """Guards against a lifted limit that only the owner knows of."""
        self.advance(1)
        self.owner.report_limit(None)
        self.requester.manager.request(self.requester.backend, 0)
        self.deliver_requests()
        self.assertFalse(self.requester.backend.signals.limit.is_set)

    def test_request_updates_owner(self) -> None:
        """Guards against an owner that misses a new limit."""
        self.advance(1)
        self.owner.report_limit(None)
        self.advance(1)
        self.requester.report_limit(3)
        self.requester.manager.request(self.requester.backend, 0)
        self.deliver_requests()
        self.assertEqual(self.owner.backend.signals.limit.rate, 3)

    def test_owner_grants_for_unknown_server(self) -> None:
        """Guards against refusals until the owner lists the server."""
        self.owner.backends.replace_all([])
        for _ in range(2):
            self.requester.manager.request(self.requester.backend, 0)
            self.deliver_requests()
            self.advance(_SECOND_MS)
        self.assertEqual(self.requester.outcomes, ['given', 'given'])

    def test_gateway_refuses_if_it_is_not_owner(self) -> None:
        """Guards against two owners if gateways know different peers."""
        request = PermitRequest(
            'g9', hash_name('i-1/7'), 1, LimitReport(_RATE, 0), _SECOND_MS
        )
        self.requester.manager.handle_request(request)
        reply = self.requester.sent[-1][1]
        assert isinstance(reply, PermitReply)
        self.assertFalse(reply.is_granted)

    def test_reservations_have_distinct_times(self) -> None:
        """Guards against callers that retry at the same time."""
        times = [self.reserve() for _ in range(3)]
        own_ms = asyncio.run(self.owner.manager.reserve(self.owner.backend))
        self.assertEqual(len({*times, own_ms}), 4)
        self.assertEqual(set(self.requester.outcomes), {'reserved'})

    def test_reserved_permit_is_granted_to_retry_only(self) -> None:
        """Guards against first tries that use it at any gateway."""
        while self.owner.manager.may_send(self.owner.backend):
            self.owner.manager.acquire(self.owner.backend)
        wait_ms = self.reserve()
        assert wait_ms is not None
        self.advance(wait_ms)
        self.assertFalse(self.owner.manager.may_send(self.owner.backend))
        self.requester.manager.request(self.requester.backend, 0)
        self.deliver_requests()
        self.requester.manager.request(
            self.requester.backend, 0, for_retry=True
        )
        self.deliver_requests()
        self.assertEqual(
            self.requester.outcomes, ['reserved', 'refused', 'given']
        )

    def test_owner_of_older_release_reserves_nothing(self) -> None:
        """Guards against a retry time that was not reserved."""
        self.owner.manager.handle_request = self.reply_plain  # type: ignore
        self.assertIsNone(self.reserve())

    def test_reservation_times_out(self) -> None:
        """Guards against a caller that waits for a silent owner."""
        reservation = self.requester.manager.reserve(self.requester.backend)
        self.assertIsNone(asyncio.run(reservation))
        self.assertEqual(self.requester.outcomes, ['not-reserved'])

    def test_gateway_of_older_release_owns_nothing(self) -> None:
        """Guards against grants of what the older gateway may be using."""
        self.advance(_SECOND_MS)
        self.owner.receive_heartbeat(
            self.requester.peers.name, issues_permits=False
        )
        self.requester.receive_heartbeat(
            self.owner.peers.name, issues_permits=False
        )
        self.clock.advance(100)
        for gateway in self.gateways:
            while gateway.manager.may_send(gateway.backend):
                gateway.manager.acquire(gateway.backend)
            wait_ms = (
                gateway.manager.available_ms(gateway.backend) - self.clock.now()
            )
            self.assertGreater(wait_ms, _SECOND_MS / _RATE)

    def test_gateway_without_list_owns_nothing(self) -> None:
        """Guards against grants by many gateways that know no peers."""
        lone_gateway = _Gateway('g3', (), self.clock)
        lone_gateway.peers.has_gateway_list = False
        lone_gateway.report_limit(_RATE)
        self.clock.advance(_SECOND_MS)
        self.assertFalse(lone_gateway.is_owner)

    def test_new_owner_starts_with_empty_bucket(self) -> None:
        """Guards against grants on top of the former owner's."""
        self.assertTrue(self.owner.is_owner)
        names = [f'g{number}' for number in range(3, 20)]
        self.owner.peers.apply_rows((name, 'x:1') for name in names)
        for name in names:
            self.owner.receive_heartbeat(name)
        self.clock.advance(100)
        self.owner.manager.expire()
        self.assertFalse(self.owner.is_owner)
        self.owner.peers.apply_rows((name, '') for name in names)
        self.clock.advance(100)
        self.assertFalse(self.owner.is_owner)
        self.advance(_SECOND_MS)
        self.assertTrue(self.owner.is_owner)

    def test_reports_spread_and_expire(self) -> None:
        """Guards against a lifted limit that is not reported."""
        self.advance(1)
        self.requester.report_limit(None)
        key = hash_name('i-1/7')
        self.assertEqual(
            self.requester.manager.collect_reports(),
            {key: LimitReport(None, 0)},
        )
        self.owner.manager.apply_reports(
            self.requester.manager.collect_reports()
        )
        self.assertFalse(self.owner.backend.signals.limit.is_set)
        self.advance(10 * _SECOND_MS)
        self.assertEqual(self.requester.manager.collect_reports(), {})


class MessageTest(unittest.TestCase):
    """Encoding of datagrams."""

    def test_round_trip(self) -> None:
        """Guards against fields that are lost or changed."""
        for rate in (None, 0, 0.2, 1_000_000):
            report = LimitReport(rate, 20)
            for message in (
                PermitRequest('g1', 7, 3, report, 210),
                PermitRequest(
                    'g1', 7, 3, report, 0, for_retry=True, is_reservation=True
                ),
                PermitReply('g2', 7, 3, report, True, 40),
                PermitReply('g2', 7, 3, report, False, 40, retry_after_ms=900),
            ):
                read = decode_permit(encode_permit(message))
                self.assertEqual(read, message)

    def test_older_releases_reject_permit_messages(self) -> None:
        """Guards against a permit message decoded as a heartbeat."""
        packet = encode_permit(
            PermitRequest('g1', 7, 3, LimitReport(1.5, 20), 210)
        )
        with self.assertRaises(ForeignMessageError):
            decode(packet)

    def test_invalid_datagram_is_rejected(self) -> None:
        """Guards against a crash on arbitrary bytes."""
        rng = random.Random(4)
        for size in range(60):
            with self.assertRaises(ForeignMessageError):
                decode_permit(rng.randbytes(size), peer='10.0.0.1')
