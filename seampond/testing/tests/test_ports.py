"""Tests of port allocation by deployments that start together."""

import random
import unittest
from itertools import islice
from unittest.mock import patch

from seampond.demo.fleet import free_ports

_PORTS = 14
_START = 23_000


class FreePortsTest(unittest.TestCase):
    """Guards against two deployments that choose the same port."""

    def test_allocations_before_either_listens(self) -> None:
        """They get different ports, even from the same random start."""
        with patch.object(random, 'randrange', return_value=_START):
            chosen = [set(islice(free_ports(), _PORTS)) for _ in range(2)]
        self.assertEqual(chosen[0] & chosen[1], set())
