"""What is seen of a request before it is let in."""

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

_PATIENT_MS = 12_000


class AdmissionTest(unittest.TestCase):
    """A configuration of one public route."""

    def setUp(self) -> None:
        """Put the configuration in force."""
        route = build_route(is_public=True)
        self.clock = ManualClock()
        self.belief = ConfigurationState(
            Configuration(1, {(route.host, route.prefix): route})
        )
        self.admission = Admission(
            self.belief,
            NAMES,
            self.clock,
            4000,
            lambda tenant, units, rank, *, has_idle_slots: 0,
            lambda tenant, units: None,
            lambda pool: True,
        )

    def test_caller_that_comes_back_is_known(self) -> None:
        """It has less time left than callers have at first."""
        self.assertFalse(self._is_retry(_PATIENT_MS))
        self.assertFalse(self._is_retry(_PATIENT_MS))
        self.assertTrue(self._is_retry(_PATIENT_MS - 1500))
        self.assertFalse(self._is_retry(_PATIENT_MS + 100))

    def test_keys_need_a_proof_where_removals_are_strict(self) -> None:
        """None has an age of none, and is served where they are not."""
        job = build_job()
        self.assertIsNone(self.admission.proof_age_ms)
        with self.assertRaises(Refusal) as caught:
            self.admission.check_proof(job)
        self.assertIs(caught.exception.cause, Cause.unproved)
        self.belief.proved_ms = self.clock.now()
        self.admission.check_proof(job)
        self.clock.advance(4001)
        self.assertEqual(self.admission.proof_age_ms, 4001)
        with self.assertRaises(Refusal):
            self.admission.check_proof(job)
        self.admission.max_proof_age_ms = BoundSettings(
            strict_revoke=False
        ).proof_ms
        self.admission.check_proof(job)

    def test_nobody_is_denied_without_a_young_proof(self) -> None:
        """What the newest configuration allows is not known."""
        arrival = RequestHead(
            b'GET', b'/elsewhere/', [(b'host', b'a.example')], 0
        )
        for proved_ms, cause in (
            (None, Cause.outdated),
            (self.clock.now(), Cause.no_route),
            (self.clock.now() - 4001, Cause.outdated),
        ):
            with self.subTest(proved_ms):
                self.belief.proved_ms = proved_ms
                with self.assertRaises(Refusal) as caught:
                    self.admission.admit(arrival, b'')
                self.assertIs(caught.exception.cause, cause)

    def _is_retry(self, max_wait_ms: int) -> bool:
        headers = [
            (b'host', b'a.example'),
            (NAMES.deadline, b'%d' % max_wait_ms),
        ]
        arrival = RequestHead(b'GET', b'/x/y', headers, 0)
        return self.admission.admit(arrival, b'').is_retry
