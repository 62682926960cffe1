"""The dispatcher: one grant, late and crossed messages, lost agents."""

import unittest
from typing import Any

from seampond.clock import ManualClock
from seampond.errors import PromiseError
from seampond.links.messages import (
    Ask,
    Cancel,
    Deny,
    Finish,
    Frame,
    Grant,
    Hello,
    Pulse,
    Received,
    Resume,
    TurnAway,
    Withdraw,
)
from seampond.requests.work import AgentLost, GrantAccepted, ReservationDeclined
from seampond.routing.peer import Peer, PeerState
from seampond.testing.builders import (
    FakeLink,
    build_peer,
    build_placement,
    build_ticket,
)


class DispatcherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.first = build_peer('backend-1')
        self.second = build_peer('backend-2')
        self.placement = build_placement(self.clock, (self.first, self.second))
        self.dispatcher = self.placement.dispatcher
        self.ticket = build_ticket()
        self.dispatcher.open(self.ticket)

    def sent(self, peer: Peer, kind: type) -> list:
        assert isinstance(peer.link, FakeLink)
        return peer.link.sent_of(kind)

    def reconnect(self, incarnation: str) -> FakeLink:
        link: Any = FakeLink()
        hello = Hello('backend-1', incarnation, b'')
        self.dispatcher.came_up(self.first, link, hello)
        return link

    def reserve_at_both(self) -> None:
        self.dispatcher.reserve(self.ticket, self.first)
        self.dispatcher.reserve(self.ticket, self.second)

    def test_the_first_ask_gets_the_grant_and_the_second_is_denied(
        self,
    ) -> None:
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.dispatcher.take(self.second, Ask('r1', 1))
        self.assertEqual(len(self.sent(self.first, Grant)), 1)
        self.assertEqual(self.sent(self.second, Grant), [])
        self.assertEqual(len(self.sent(self.second, Withdraw)), 1)
        self.assertEqual(len(self.sent(self.second, Deny)), 1)
        self.assertEqual(
            self.ticket.mailbox.get_nowait(), GrantAccepted('backend-1')
        )

    def test_an_ask_for_an_earlier_attempt_is_denied(self) -> None:
        self.reserve_at_both()
        self.dispatcher.start_again(self.ticket)
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.assertEqual(self.sent(self.first, Grant), [])

    def test_an_ask_from_an_agent_without_reservation_is_denied(self) -> None:
        self.dispatcher.reserve(self.ticket, self.first)
        self.dispatcher.take(self.second, Ask('r1', 1))
        self.assertEqual(self.sent(self.second, Grant), [])

    def test_an_ask_after_the_deadline_is_denied(self) -> None:
        self.reserve_at_both()
        self.clock.advance(self.ticket.work.deadline_ms)
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.assertEqual(self.sent(self.first, Grant), [])

    def test_a_second_grant_is_a_broken_promise(self) -> None:
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.ticket.reserved.add('backend-2')
        self.dispatcher._may_grant = (  # type: ignore[method-assign]
            lambda peer, ticket, ask: True
        )
        with self.assertRaises(PromiseError):
            self.dispatcher.take(self.second, Ask('r1', 1))
        self.assertEqual(self.sent(self.second, Grant), [])

    def test_a_granted_request_cannot_be_shed(self) -> None:
        self.placement.room.enter(self.ticket)
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.assertEqual(len(self.placement.room), 0)

    def test_a_dead_link_frees_its_reservations(self) -> None:
        self.reserve_at_both()
        self.dispatcher.went_down(self.first)
        self.assertEqual(
            self.ticket.mailbox.get_nowait(), ReservationDeclined('backend-1')
        )
        self.assertEqual(self.ticket.reserved, {'backend-2'})

    def test_a_new_link_to_the_same_incarnation_resumes(self) -> None:
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.ticket.next_frame = 4
        self.dispatcher.went_down(self.first)
        link = self.reconnect('incarnation-1')
        self.assertEqual(link.sent_of(Resume), [Resume('r1', 1, 4)])

    def test_a_new_incarnation_has_lost_its_grants(self) -> None:
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.ticket.mailbox.get_nowait()
        self.dispatcher.went_down(self.first)
        self.reconnect('incarnation-2')
        self.assertEqual(
            self.ticket.mailbox.get_nowait(), AgentLost('backend-1')
        )

    def test_frames_from_an_agent_without_the_grant_are_dropped(self) -> None:
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.ticket.mailbox.get_nowait()
        self.dispatcher.take(self.second, Frame('r1', 1, 1, b'x'))
        self.assertTrue(self.ticket.mailbox.empty())

    def test_a_finish_is_acknowledged_even_when_late(self) -> None:
        self.dispatcher.take(self.first, Finish('gone', 1, 1, 'yes', ''))
        self.assertEqual(self.sent(self.first, Received), [Received('gone', 1)])

    def test_closing_withdraws_or_cancels(self) -> None:
        self.reserve_at_both()
        self.dispatcher.take(self.first, Ask('r1', 1))
        self.dispatcher.close(self.ticket)
        self.assertEqual(self.sent(self.first, Cancel), [Cancel('r1', 1)])
        self.assertEqual(self.dispatcher.open_tickets, 0)

    def test_closing_an_evicted_request_leaves_no_reservation(self) -> None:
        self.reserve_at_both()
        self.ticket.is_finished = True
        self.dispatcher.close(self.ticket)
        self.assertEqual(self.first.reserved, {})

    def test_an_agent_that_leaves_gets_no_reservations(self) -> None:
        self.dispatcher.take(self.first, Pulse(leaving=True))
        self.assertIs(self.first.state, PeerState.leaving)
        self.assertEqual(self.dispatcher.peers_of('llm'), [self.second])

    def test_a_reservation_while_leaving_is_a_broken_promise(self) -> None:
        self.dispatcher.take(self.first, Pulse(leaving=True))
        with self.assertRaises(PromiseError):
            self.dispatcher.reserve(self.ticket, self.first)

    def test_a_turn_away_of_an_earlier_attempt_is_dropped(self) -> None:
        self.dispatcher.reserve(self.ticket, self.first)
        self.ticket.attempt = 2
        self.dispatcher.take(self.first, TurnAway('r1', 1, 'no-room', 5, 1000))
        self.assertTrue(self.ticket.mailbox.empty())
