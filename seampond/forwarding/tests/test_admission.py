"""Checks of requests before they are admitted."""

import unittest

from seampond.clock import ManualClock
from seampond.forwarding.admission import (
    Admission,
    ConfigurationState,
    RequestHead,
)
from seampond.forwarding.models import Configuration
from seampond.forwarding.refusals import Cause, Refusal
from seampond.settings.gateway import BoundSettings
from seampond.testing.gateways import NAMES, build_job, build_route

_FULL_WAIT_MS = 12_000


class AdmissionTest(unittest.TestCase):
    """A configuration of one public route."""

    def setUp(self) -> None:
        """Put the configuration in force."""
        route = build_route(is_public=True)
        self.clock = ManualClock()
        self.configuration_state = ConfigurationState(
            Configuration(1, {(route.host, route.prefix): route})
        )
        self.admission = Admission(
            self.configuration_state,
            NAMES,
            self.clock,
            4000,
            lambda tenant, units, rank, *, has_idle_slots: 0,
            lambda tenant, units: None,
            lambda pool: True,
        )

    def test_retry_is_recognised(self) -> None:
        """A retry has less time left than a first try."""
        self.assertFalse(self._is_retry(_FULL_WAIT_MS))
        self.assertFalse(self._is_retry(_FULL_WAIT_MS))
        self.assertTrue(self._is_retry(_FULL_WAIT_MS - 1500))
        self.assertFalse(self._is_retry(_FULL_WAIT_MS + 100))

    def test_keys_need_a_proof_with_strict_revoke(self) -> None:
        """Guards against serving revoked keys."""
        job = build_job()
        self.assertIsNone(self.admission.proof_age_ms)
        with self.assertRaises(Refusal) as caught:
            self.admission.check_proof(job)
        self.assertIs(caught.exception.cause, Cause.unproved)
        self.configuration_state.proved_ms = self.clock.now()
        self.admission.check_proof(job)
        self.clock.advance(4001)
        self.assertEqual(self.admission.proof_age_ms, 4001)
        with self.assertRaises(Refusal):
            self.admission.check_proof(job)
        self.admission.max_proof_age_ms = BoundSettings(
            strict_revoke=False
        ).proof_ms
        self.admission.check_proof(job)

    def test_no_denial_by_a_proof_older_than_the_deadline(self) -> None:
        """A route that must be in force by now may be missing."""
        self.clock.advance(60_000)
        for deadline_ms in (2000, 3000, 11_000):
            with self.subTest(deadline_ms=deadline_ms):
                self.configuration_state.deadline_ms = deadline_ms
                self.assertIs(self._deny(deadline_ms), Cause.no_route)
                self.assertIs(self._deny(deadline_ms + 1), Cause.outdated)

    def test_no_denial_without_a_recent_proof(self) -> None:
        """Guards against denying what the newest configuration allows."""
        head = RequestHead(b'GET', b'/elsewhere/', [(b'host', b'a.example')], 0)
        for proved_ms, cause in (
            (None, Cause.outdated),
            (self.clock.now(), Cause.no_route),
            (self.clock.now() - 4001, Cause.outdated),
        ):
            with self.subTest(proved_ms):
                self.configuration_state.proved_ms = proved_ms
                with self.assertRaises(Refusal) as caught:
                    self.admission.admit(head, b'')
                self.assertIs(caught.exception.cause, cause)

    def _deny(self, age_ms: int) -> Cause:
        """Return why an unknown route is refused at an age of the proof."""
        head = RequestHead(b'GET', b'/elsewhere/', [(b'host', b'a.example')], 0)
        self.configuration_state.proved_ms = self.clock.now() - age_ms
        with self.assertRaises(Refusal) as caught:
            self.admission.admit(head, b'')
        return caught.exception.cause

    def _is_retry(self, max_wait_ms: int) -> bool:
        headers = [
            (b'host', b'a.example'),
            (NAMES.deadline, b'%d' % max_wait_ms),
        ]
        head = RequestHead(b'GET', b'/x/y', headers, 0)
        return self.admission.admit(head, b'').is_retry
