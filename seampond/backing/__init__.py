"""Interfaces to the services of the platform."""

from seampond.backing.tables import Check as Check
from seampond.backing.tables import Row as Row
from seampond.backing.tables import Tables as Tables
from seampond.backing.tables import Write as Write
from seampond.backing.vms import Vm as Vm
