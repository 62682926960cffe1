"""Daemons; each is a context manager that runs one role."""

from seampond.daemons.agent import run_agent as run_agent
from seampond.daemons.entry import run_entry as run_entry
from seampond.daemons.standins import run_engine as run_engine
from seampond.daemons.standins import run_platform as run_platform
