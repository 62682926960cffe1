"""The sum of what is exposed, whatever happens to gateways."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seampond.rollouts.exposure import Exposure

_SHARE = 0.1
_SLACK = 50.0
# What one gateway does next: it serves so many requests, or ends and starts
# again; gateways may also be added.  No word between them is needed, so loss,
# delay, doubling, a cut and a freeze change nothing.
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
    """Each gateway keeps to its own part."""

    @settings(max_examples=200, derandomize=True, deadline=None, database=None)
    @given(st.integers(1, 40), _EVENTS)
    def test_sum_stays_inside(
        self, count: int, events: list[tuple[int, str, int]]
    ) -> None:
        """At each moment, not only at the end."""
        fleet = [Exposure(_SHARE, _SLACK / count) for _ in range(count)]
        sent = 0
        exposed = 0
        for number, kind, requests in events:
            index = number % len(fleet)
            if kind == 'restart':
                fleet[index] = Exposure(_SHARE)
            elif kind == 'add':
                fleet.append(Exposure(_SHARE))
            else:
                for _ in range(requests):
                    one = fleet[index]
                    exposed += one.record(is_new=one.may_expose)
                    sent += 1
                    self.assertLessEqual(exposed, _SHARE * sent + _SLACK)

    def test_room_is_used(self) -> None:
        """A bound that lets nothing through would be kept too."""
        one = Exposure(_SHARE, 10)
        exposed = sum(one.record(is_new=one.may_expose) for _ in range(1000))
        self.assertGreater(exposed, 80)
