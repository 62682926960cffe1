"""Invariants that are checked at run time."""

from seampond.promises.rules import Promises as Promises
from seampond.promises.rules import Rule as Rule
