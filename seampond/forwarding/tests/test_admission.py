"""What is seen of a request before it is let in."""

import unittest

from seampond.clock import ManualClock
from seampond.forwarding.admission import Admission, Arrival, Belief
from seampond.forwarding.models import Configuration
from seampond.testing.gateways import NAMES, build_route

_PATIENT_MS = 12_000


class AdmissionTest(unittest.TestCase):
    """A configuration of one public route."""

    def setUp(self) -> None:
        """Put the configuration in force."""
        route = build_route(is_public=True)
        belief = Belief(Configuration(1, {(route.host, route.prefix): route}))
        self.admission = Admission(
            belief,
            NAMES,
            ManualClock(),
            4000,
            lambda tenant, units, rank: 0,
            lambda tenant, units: None,
        )

    def test_caller_that_comes_back_is_known(self) -> None:
        """It has less time left than callers have at first."""
        self.assertFalse(self._is_repeat(_PATIENT_MS))
        self.assertFalse(self._is_repeat(_PATIENT_MS))
        self.assertTrue(self._is_repeat(_PATIENT_MS - 1500))
        self.assertFalse(self._is_repeat(_PATIENT_MS + 100))

    def _is_repeat(self, patience_ms: int) -> bool:
        headers = [
            (b'host', b'a.example'),
            (NAMES.deadline, b'%d' % patience_ms),
        ]
        arrival = Arrival(b'GET', b'/x/y', headers, 0)
        return self.admission.admit(arrival, b'').is_repeat
