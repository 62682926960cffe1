"""Asking for permits and giving them: lost, late, doubled and unlike words."""

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
from seampond.testing.gateways import NAMES, build_server, pick

_NOW_MS = 50_000
_RATE = 2.0
_SECOND_MS = 1000
_LOST_MS = 200
_RESEND_MS = 50


class _Side:
    """One gateway, and what it has sent."""

    def __init__(
        self, name: str, others: tuple[str, ...], clock: ManualClock
    ) -> None:
        self.clock = clock
        self.peers = Peers(name, clock)
        self.peers.apply_rows((other, 'x:1') for other in others)
        self.others = others
        self.sequence = 0
        self.hear_all()
        self.backends = Backends(clock, NAMES.request_id, hash_name=hash_name)
        self.backends.replace_all([build_server('i-1', started_ms=7)])
        self.counted: list[str] = []
        self.permit_manager = PermitManager(
            self.peers,
            clock,
            self.backends.apply_limit_report,
            lambda: None,
            random.Random(1),
            self.counted.append,
        )
        self.backends.on_limit = self.permit_manager.record_report
        self.sent: list[tuple[str, PermitRequest | PermitReply]] = []
        self.permit_manager.send = lambda *sent: self.sent.append(sent)

    @property
    def backend(self) -> Backend:
        """The one server."""
        return pick(self.backends, 'i-1')

    @property
    def is_owner(self) -> bool:
        """Whether it owns the limit of the one server."""
        return self.permit_manager.may_send(self.backend)

    def hear_all(self) -> None:
        """Hear the other gateways."""
        for other in self.others:
            self.hear(other)

    def hear(self, other: str, *, issues_permits: bool = True) -> None:
        """Hear another gateway."""
        self.sequence += 1
        self.peers.apply_heartbeat(
            Heartbeat(other, 1, self.sequence, issues_permits=issues_permits)
        )

    def say(self, rate: float | None) -> None:
        """Let the server answer a request that was sent just now."""
        reports = ServerSignals(limit=rate)
        self.backends.apply_signals(self.backend, reports, self.clock.now())


class PermitManagerTest(unittest.TestCase):
    """Two gateways, one of which owns the limit."""

    def setUp(self) -> None:
        """Find out which one."""
        self.clock = ManualClock(_NOW_MS)
        self.sides = [
            _Side('g1', ('g2',), self.clock),
            _Side('g2', ('g1',), self.clock),
        ]
        for side in self.sides:
            side.say(_RATE)
        self.advance(_SECOND_MS)
        is_first = self.sides[0].is_owner
        self.owner = self.sides[not is_first]
        self.asker = self.sides[is_first]

    def advance(self, duration_ms: int) -> None:
        """Let time pass, in which both hear each other."""
        self.clock.advance(duration_ms)
        for side in self.sides:
            side.hear_all()

    def exchange(self) -> None:
        """Deliver what was asked, and what is answered."""
        for _, ask in self.asker.sent:
            assert isinstance(ask, PermitRequest)
            self.owner.permit_manager.handle_request(ask)
        self.asker.sent.clear()
        self.answer()

    def answer(self) -> None:
        """Deliver what is answered."""
        for _, reply in self.owner.sent:
            assert isinstance(reply, PermitReply)
            self.asker.permit_manager.handle_reply(reply)
        self.owner.sent.clear()

    def reserve(self) -> int | None:
        """Let the asker have a time reserved for a caller."""

        async def work() -> int | None:
            reserving = asyncio.create_task(
                self.asker.permit_manager.reserve(self.asker.backend)
            )
            await asyncio.sleep(0)
            self.exchange()
            return await reserving

        return asyncio.run(work())

    def answer_as_before(self, ask: PermitRequest) -> None:
        """Answer like a build that knows no reserved times."""
        reply = PermitReply(
            'g', ask.incarnation, ask.number, ask.report, False, 200
        )
        self.owner.sent.append((ask.name, reply))

    def test_one_owns_it_and_gives_permits(self) -> None:
        """Each is for one request."""
        self.assertFalse(self.asker.permit_manager.may_send(self.asker.backend))
        self.asker.permit_manager.request(self.asker.backend, 0)
        self.exchange()
        self.assertTrue(self.asker.permit_manager.may_send(self.asker.backend))
        permit = self.asker.permit_manager.acquire(self.asker.backend)
        assert permit is not None
        self.assertTrue(permit.may_send(self.clock.now()))
        self.assertFalse(self.asker.permit_manager.may_send(self.asker.backend))
        self.assertEqual(self.asker.counted, ['given'])

    def test_permit_that_is_given_ahead(self) -> None:
        """It holds after the wait, and not for ever."""
        while self.owner.permit_manager.may_send(self.owner.backend):
            self.owner.permit_manager.acquire(self.owner.backend)
        self.asker.permit_manager.request(self.asker.backend, _SECOND_MS)
        self.exchange()
        self.assertFalse(self.asker.permit_manager.may_send(self.asker.backend))
        self.advance(500)
        self.assertTrue(self.asker.permit_manager.may_send(self.asker.backend))
        self.advance(500)
        self.assertFalse(self.asker.permit_manager.may_send(self.asker.backend))

    def test_refusal_says_when(self) -> None:
        """Nobody asks before."""
        while self.owner.permit_manager.may_send(self.owner.backend):
            self.owner.permit_manager.acquire(self.owner.backend)
        self.asker.permit_manager.request(self.asker.backend, 100)
        self.exchange()
        available_ms = self.asker.permit_manager.available_ms(
            self.asker.backend
        )
        self.assertGreater(available_ms, self.clock.now() + 100)
        self.assertEqual(self.asker.counted, ['refused'])

    def test_doubled_question_and_answer(self) -> None:
        """The second permit is lost, not used twice."""
        self.asker.permit_manager.request(self.asker.backend, 0)
        self.asker.sent *= 2
        self.exchange()
        self.assertEqual(len(self.asker.backend.signals.limit.permits), 1)

    def test_lost_answer(self) -> None:
        """Asked again a little later; the late one counts no more."""
        self.asker.permit_manager.request(self.asker.backend, 0)
        for _, ask in self.asker.sent:
            assert isinstance(ask, PermitRequest)
            self.owner.permit_manager.handle_request(ask)
        self.advance(_LOST_MS)
        available_ms = self.asker.permit_manager.available_ms(
            self.asker.backend
        )
        self.assertGreater(available_ms, self.clock.now())
        self.answer()
        self.assertFalse(self.asker.permit_manager.may_send(self.asker.backend))
        self.assertEqual(self.asker.counted, ['lost'])

    def test_question_whose_answer_is_lost(self) -> None:
        """Guards against a permit, or a reserved one, that is lost with it."""
        while self.owner.permit_manager.may_send(self.owner.backend):
            self.owner.permit_manager.acquire(self.owner.backend)
        self.asker.permit_manager.request(self.asker.backend, _SECOND_MS)
        ask = self.asker.sent[-1][1]
        assert isinstance(ask, PermitRequest)
        self.owner.permit_manager.handle_request(ask)
        lost = self.owner.sent.pop()[1]
        self.asker.sent.clear()
        self.advance(_RESEND_MS)
        self.asker.permit_manager.expire()
        again = self.asker.sent[-1][1]
        assert isinstance(again, PermitRequest)
        self.owner.permit_manager.handle_request(again)
        reply = self.owner.sent[-1][1]
        assert isinstance(lost, PermitReply)
        assert isinstance(reply, PermitReply)
        self.assertTrue(reply.is_granted)
        self.assertEqual(reply.wait_ms, lost.wait_ms - _RESEND_MS)
        self.answer()
        self.assertEqual(len(self.asker.backend.signals.limit.permits), 1)

    def test_owner_that_knows_better(self) -> None:
        """The limit is over: the asker hears it with the answer."""
        self.advance(1)
        self.owner.say(None)
        self.asker.permit_manager.request(self.asker.backend, 0)
        self.exchange()
        self.assertFalse(self.asker.backend.signals.limit.is_set)

    def test_owner_that_has_not_heard(self) -> None:
        """The question tells it of the limit."""
        self.advance(1)
        self.owner.say(None)
        self.advance(1)
        self.asker.say(3)
        self.asker.permit_manager.request(self.asker.backend, 0)
        self.exchange()
        self.assertEqual(self.owner.backend.signals.limit.rate, 3)

    def test_server_that_the_owner_does_not_know(self) -> None:
        """Its row comes later; the permits count from the first question."""
        self.owner.backends.replace_all([])
        for _ in range(2):
            self.asker.permit_manager.request(self.asker.backend, 0)
            self.exchange()
            self.advance(_SECOND_MS)
        self.assertEqual(self.asker.counted, ['given', 'given'])

    def test_who_is_not_the_owner_gives_nothing(self) -> None:
        """It was asked by one that knows other gateways."""
        ask = PermitRequest(
            'g9', hash_name('i-1/7'), 1, LimitReport(_RATE, 0), _SECOND_MS
        )
        self.asker.permit_manager.handle_request(ask)
        reply = self.asker.sent[-1][1]
        assert isinstance(reply, PermitReply)
        self.assertFalse(reply.is_granted)

    def test_each_reserved_time_is_another(self) -> None:
        """Guards against callers that are told to come back together."""
        times = [self.reserve() for _ in range(3)]
        own_ms = asyncio.run(
            self.owner.permit_manager.reserve(self.owner.backend)
        )
        self.assertEqual(len({*times, own_ms}), 4)
        self.assertEqual(set(self.asker.counted), {'reserved'})

    def test_reserved_permit_is_kept_for_its_caller(self) -> None:
        """Guards against first tries that take it, at any gateway."""
        while self.owner.permit_manager.may_send(self.owner.backend):
            self.owner.permit_manager.acquire(self.owner.backend)
        wait_ms = self.reserve()
        assert wait_ms is not None
        self.advance(wait_ms)
        self.assertFalse(self.owner.permit_manager.may_send(self.owner.backend))
        self.asker.permit_manager.request(self.asker.backend, 0)
        self.exchange()
        self.asker.permit_manager.request(self.asker.backend, 0, for_retry=True)
        self.exchange()
        self.assertEqual(self.asker.counted, ['reserved', 'refused', 'given'])

    def test_owner_of_an_earlier_build_reserves_nothing(self) -> None:
        """Its answer tells of no time."""
        self.owner.permit_manager.handle_request = self.answer_as_before  # type: ignore
        self.assertIsNone(self.reserve())

    def test_owner_that_does_not_answer(self) -> None:
        """The caller is not kept waiting."""
        reserving = self.asker.permit_manager.reserve(self.asker.backend)
        self.assertIsNone(asyncio.run(reserving))
        self.assertEqual(self.asker.counted, ['not-reserved'])

    def test_gateway_of_an_earlier_build(self) -> None:
        """It owns nothing, and the others give their part."""
        self.advance(_SECOND_MS)
        self.owner.hear(self.asker.peers.name, issues_permits=False)
        self.asker.hear(self.owner.peers.name, issues_permits=False)
        self.clock.advance(100)
        for side in self.sides:
            while side.permit_manager.may_send(side.backend):
                side.permit_manager.acquire(side.backend)
            wait_ms = (
                side.permit_manager.available_ms(side.backend)
                - self.clock.now()
            )
            self.assertGreater(wait_ms, _SECOND_MS / _RATE)

    def test_gateway_that_does_not_know_the_others_yet(self) -> None:
        """It may be one of many, and gives nothing."""
        alone = _Side('g3', (), self.clock)
        alone.peers.has_gateway_list = False
        alone.say(_RATE)
        self.clock.advance(_SECOND_MS)
        self.assertFalse(alone.is_owner)

    def test_new_owner_begins_with_nothing(self) -> None:
        """The one before may have given until now."""
        self.assertTrue(self.owner.is_owner)
        names = [f'g{number}' for number in range(3, 20)]
        self.owner.peers.apply_rows((name, 'x:1') for name in names)
        for name in names:
            self.owner.hear(name)
        self.clock.advance(100)
        self.owner.permit_manager.expire()
        self.assertFalse(self.owner.is_owner)
        self.owner.peers.apply_rows((name, '') for name in names)
        self.clock.advance(100)
        self.assertFalse(self.owner.is_owner)
        self.advance(_SECOND_MS)
        self.assertTrue(self.owner.is_owner)

    def test_what_is_told_of_limits(self) -> None:
        """What was said of late, also that a limit is over."""
        self.advance(1)
        self.asker.say(None)
        key = hash_name('i-1/7')
        self.assertEqual(
            self.asker.permit_manager.collect_reports(),
            {key: LimitReport(None, 0)},
        )
        self.owner.permit_manager.apply_reports(
            self.asker.permit_manager.collect_reports()
        )
        self.assertFalse(self.owner.backend.signals.limit.is_set)
        self.advance(10 * _SECOND_MS)
        self.assertEqual(self.asker.permit_manager.collect_reports(), {})


class MessageTest(unittest.TestCase):
    """The datagrams."""

    def test_round_trip(self) -> None:
        """What is decoded is what was encoded."""
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

    def test_earlier_builds_drop_them(self) -> None:
        """They take every datagram for a heartbeat."""
        packet = encode_permit(
            PermitRequest('g1', 7, 3, LimitReport(1.5, 20), 210)
        )
        with self.assertRaises(ForeignMessageError):
            decode(packet)

    def test_other_bytes_are_refused(self) -> None:
        """With their sender."""
        rng = random.Random(4)
        for size in range(60):
            with self.assertRaises(ForeignMessageError):
                decode_permit(rng.randbytes(size), peer='10.0.0.1')
