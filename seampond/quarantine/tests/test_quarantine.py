"""Admission of requests by what is known of their parts."""

import asyncio
import itertools
import unittest

from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Refusal
from seampond.testing.gateways import build_job, build_quarantine

_PART = 2
_OTHER_PART = 3
_wholes = itertools.count(100)


class QuarantineTest(unittest.IsolatedAsyncioTestCase):
    """A gateway without a store."""

    def setUp(self) -> None:
        """Start without suspects."""
        self.quarantine = build_quarantine()

    async def test_part_that_is_named_twice_ends_in_an_error(self) -> None:
        """A caller may list a part twice."""
        job = _build_job(_PART, _PART)
        for _ in range(2):
            async with self.quarantine.admit(job):
                self.assertFalse(self.quarantine.is_quarantined(job))

    async def test_suspect_part_runs_beside_itself(self) -> None:
        """A second request with the part waits for the first."""
        self.quarantine.suspects.record_crash(_PART, 1, 0)
        order: list[str] = []
        started = asyncio.Event()

        async def run(name: str, job: Job) -> None:
            async with self.quarantine.admit(job):
                started.set()
                order.append(name)
                await asyncio.sleep(0.05)
                order.append(name)

        first = asyncio.create_task(run('first', _build_job(_PART)))
        await started.wait()
        await asyncio.gather(first, run('second', _build_job(_PART)))
        self.assertEqual(order, ['first', 'first', 'second', 'second'])

    async def test_other_parts_are_held_back(self) -> None:
        """They are not suspect."""
        for incarnation in range(2):
            self.quarantine.suspects.record_crash(_PART, incarnation, 0)
        self.quarantine.check(_build_job(_OTHER_PART))
        job = _build_job(_OTHER_PART, _PART)
        self.assertTrue(self.quarantine.is_quarantined(job))
        with self.assertRaises(Refusal):
            async with self.quarantine.admit(job):
                self.fail('a quarantined request was admitted')


def _build_job(*parts: int) -> Job:
    # Whole requests differ, as those of different callers do.
    return build_job(fingerprint=next(_wholes), part_fingerprints=parts)
