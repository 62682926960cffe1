"""Route requests from callers to servers and relay the answers."""

from seampond.forwarding.models import Configuration as Configuration
from seampond.forwarding.models import HeaderNames as HeaderNames
from seampond.forwarding.models import Pool as Pool
from seampond.forwarding.models import PoolShare as PoolShare
from seampond.forwarding.models import RequestKind as RequestKind
from seampond.forwarding.models import RequestLimits as RequestLimits
from seampond.forwarding.models import Route as Route
from seampond.forwarding.models import Tenant as Tenant
