"""Roll-outs: a pool's traffic moves to servers of another version, or back.

Decisions only: no socket, no task, no clock but the times passed in.
"""

from seampond.rollouts.manager import RolloutManager as RolloutManager
from seampond.rollouts.models import Change as Change
from seampond.rollouts.models import Order as Order
from seampond.rollouts.models import Report as Report
from seampond.rollouts.models import Stage as Stage
from seampond.rollouts.models import State as State
from seampond.rollouts.models import Status as Status
from seampond.rollouts.models import Step as Step
