"""Stand-ins for the platform's services, in memory, for trying and tests."""

from seampond.backing.standin.app import make_platform_app as make_platform_app
from seampond.backing.standin.memory import MemoryTables as MemoryTables
