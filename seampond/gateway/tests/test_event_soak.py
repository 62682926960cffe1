"""Soak tests of gateway and server processes; each event is checked."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from seampond.testing.event_server import Framing
from seampond.testing.event_soak import EventSoakPlan, run_event_soak

_SECONDS = 6
_PLANS = (
    EventSoakPlan(1, _SECONDS, gateways=2),
    EventSoakPlan(2, _SECONDS, gateways=3, framings=(Framing.close,)),
)
_LOSS_PLAN = EventSoakPlan(501, _SECONDS, has_losses=True)


class EventSoakTest(unittest.TestCase):
    """Short runs; longer ones are started by hand with other seeds."""

    def test_stream_lacks_or_repeats_events_or_ends_early(self) -> None:
        """Servers and gateways are killed, stopped and frozen."""
        for plan in _PLANS:
            with (
                self.subTest(plan=plan),
                tempfile.TemporaryDirectory() as folder,
            ):
                report = asyncio.run(run_event_soak(Path(folder), plan))
                self.assertEqual(report.wrong, [])
                self.assertGreater(report.taken_up, 0)

    def test_stream_holds_garbage_or_ends_early_after_losses(self) -> None:
        """Some or all gateways end at once; callers state any wait."""
        with tempfile.TemporaryDirectory() as folder:
            report = asyncio.run(run_event_soak(Path(folder), _LOSS_PLAN))
        self.assertEqual(report.wrong, [])
        self.assertGreater(report.taken_up, 0)
