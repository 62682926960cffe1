"""In-memory stand-ins for the platform services, for tests and demos."""

from seampond.backing.standin.app import make_platform_app as make_platform_app
from seampond.backing.standin.memory import MemoryTables as MemoryTables
