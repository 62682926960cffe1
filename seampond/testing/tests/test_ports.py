"""Ports chosen by several deployments that start at the same time."""

import random
import unittest
from itertools import islice
from unittest.mock import patch

from seampond.demo.fleet import free_ports

_PORTS = 14
_START = 23_000


class FreePortsTest(unittest.TestCase):
    """Guards against a process whose port another deployment has taken."""

    def test_two_that_choose_before_either_listens(self) -> None:
        """They get different ports, also from the same first one."""
        with patch.object(random, 'randrange', return_value=_START):
            chosen = [set(islice(free_ports(), _PORTS)) for _ in range(2)]
        self.assertEqual(chosen[0] & chosen[1], set())
