"""Rollouts of server versions: moving a pool's traffic to another version.

The package only decides: it opens no sockets, runs no tasks and reads no clock.
"""

from seampond.rollouts.manager import RolloutManager as RolloutManager
from seampond.rollouts.models import Change as Change
from seampond.rollouts.models import Order as Order
from seampond.rollouts.models import Report as Report
from seampond.rollouts.models import Stage as Stage
from seampond.rollouts.models import State as State
from seampond.rollouts.models import Status as Status
from seampond.rollouts.models import Step as Step
