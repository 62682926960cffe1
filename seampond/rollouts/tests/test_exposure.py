"""Total exposure of an unproved version over all gateways."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seampond.rollouts.exposure import Exposure

_SHARE = 0.1
_ALLOWANCE = 50.0
# Index of a gateway, event, number of requests.
_EVENTS = st.lists(
    st.tuples(
        st.integers(0, 9),
        st.sampled_from(('serve', 'serve', 'serve', 'restart', 'add')),
        st.integers(1, 400),
    ),
    min_size=5,
    max_size=60,
)


class ExposureTest(unittest.TestCase):
    """Limits that each gateway applies on its own."""

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(st.integers(1, 40), _EVENTS)
    def test_total_exposure_is_bounded(
        self, count: int, events: list[tuple[int, str, int]]
    ) -> None:
        """Guards against exceeding the limits at any time."""
        exposures = [Exposure(_SHARE, _ALLOWANCE / count) for _ in range(count)]
        sent_count = 0
        exposed_count = 0
        for number, kind, requests in events:
            index = number % len(exposures)
            if kind == 'restart':
                exposures[index] = Exposure(_SHARE)
            elif kind == 'add':
                exposures.append(Exposure(_SHARE))
            else:
                for _ in range(requests):
                    exposure = exposures[index]
                    exposed_count += exposure.record(is_new=exposure.may_expose)
                    sent_count += 1
                    self.assertLessEqual(
                        exposed_count, _SHARE * sent_count + _ALLOWANCE
                    )

    def test_limit_is_used(self) -> None:
        """Guards against a limit that admits too few requests."""
        exposure = Exposure(_SHARE, 10)
        exposed_count = sum(
            exposure.record(is_new=exposure.may_expose) for _ in range(1000)
        )
        self.assertGreater(exposed_count, 80)
