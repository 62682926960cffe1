"""Parts of the connections that a server accepts from all gateways."""

import unittest
from types import SimpleNamespace
from typing import Any

from seampond.gateway.wiring import connection_limit

_CONNECTIONS_MAX = 10


class ConnectionLimitTest(unittest.TestCase):
    """A server that accepts ten connections."""

    def test_parts_exceed_the_limit_with_few_gateways(self) -> None:
        """There are fewer gateways than connections."""
        self._check(1, 4, 8, 10)

    def test_parts_exceed_the_limit_with_many_gateways(self) -> None:
        """There are more gateways than connections."""
        self._check(30, 340)

    def _check(self, *counts: int) -> None:
        pool = SimpleNamespace(connections_max=_CONNECTIONS_MAX)
        configuration: Any = SimpleNamespace(
            configuration=SimpleNamespace(pools={'llm': pool})
        )
        for count in counts:
            peers: Any = SimpleNamespace(count=count)
            part = connection_limit(configuration, peers, 'llm')
            self.assertLessEqual(part * count, _CONNECTIONS_MAX)
