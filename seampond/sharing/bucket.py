"""One tenant's bucket, and what may be given beyond its quota."""

from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.models import Tenant
from seampond.sharing.fairness import Fairness
from seampond.sharing.grant_window import GrantWindow

# Of the share and of the units that may be given beyond a quota, what is given;
# the rest is left for what gateways have not told each other yet.
_GRANTED_SHARE_FRACTION = 0.6
_GRANTED_UNITS_FRACTION = 0.55
# Of that, what flows in all the time; windows that are never quite full bear
# that a gateway which has just started, or was cut off, knows less.
_FLOW_FRACTION = 0.9
# A bucket above this part of its burst is in no hurry to be told of.
_AMPLE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class QuotaMargin:
    """What may be given beyond a quota, in any window of some seconds.

    Parameters
    ----------
    share : float
        A part of the quota.
    units : float
        Some units beside it.
    window_ms : int
        The length of the window.

    """

    share: float
    units: float
    window_ms: int = 8000

    def max_grant(self, tenant: Tenant) -> float:
        """Give what all gateways together give in any window.

        Examples
        --------
        >>> QuotaMargin(0.1, 1000).max_grant(Tenant('t', rate=100, burst=200))
        1610.0

        """
        quota = tenant.rate * self.window_ms / MS_PER_SECOND + tenant.burst
        return (
            quota * (1 + self.share * _GRANTED_SHARE_FRACTION)
            + self.units * _GRANTED_UNITS_FRACTION
        )

    def max_rate(self, tenant: Tenant) -> float:
        """Give the units a second that may be given for ever.

        Explanation
        -----------
        The quota's bound is one on windows, so what it allows beyond the rate
        is allowed in each of them.  A bucket that flows at the rate gives it
        once, and then owes it: a tenant that asked for 57,000 units a second
        was given 33,000 of the 62,000 that the bound allowed, on a fleet of
        18 gateways.
        """
        most = self.max_grant(tenant) * _FLOW_FRACTION
        return max(tenant.rate, most * MS_PER_SECOND / self.window_ms)

    def reserve(self, tenant: Tenant) -> float:
        """Give what is left for what gateways have not told yet."""
        quota = tenant.rate * self.window_ms / MS_PER_SECOND + tenant.burst
        left = quota * self.share * (1 - _GRANTED_SHARE_FRACTION)
        return left + self.units * (1 - _GRANTED_UNITS_FRACTION)


@dataclass(slots=True)
class Bucket:
    """One tenant's bucket as this gateway sees it; below zero is a debt.

    Parameters
    ----------
    level : float
        What all gateways together may still give.
    base_level : float
        The level, had nothing flowed in beyond the rate.
    partial_level : float
        What those that are heard may give while some gateway is silent.
    reachable_fraction : float
        The part of all gateways that was heard last.
    spent : float
        What we have given in this life of the process.
    reported : float
        How much of it the others have been told.
    fairness : Fairness
        What the ranks of work have asked here.
    window : GrantWindow
        What all gateways have given in the last window, as far as we know.
    partition_start_ms : int
        Since when some gateway is silent.

    """

    tenant: Tenant
    filled_ms: int
    fairness: Fairness
    window: GrantWindow
    level: float = 0
    base_level: float = 0
    partial_level: float = 0
    reachable_fraction: float = 1
    spent: float = 0
    reported: float = 0
    partition_start_ms: int = 0

    def spend(self, now_ms: int, units: float) -> None:
        """Take units that we give; fewer than none for a refund."""
        self.deduct(now_ms, units)
        self.spent += units

    def deduct(self, now_ms: int, units: float) -> None:
        """Take units that another gateway says it has given."""
        self.level -= units
        self.base_level -= units
        self.partial_level -= units
        self.window.add(now_ms, units)

    def update_limits(self, tenant: Tenant) -> None:
        """Take the limits of a newer configuration.

        Explanation
        -----------
        Another rate counts in windows that begin with it, so what was given
        by the one before is not held against it.
        """
        if (tenant.rate, tenant.burst) != (self.tenant.rate, self.tenant.burst):
            self.window.clear()
        self.tenant = tenant

    def has_ample_level(self, now_ms: int, margin: QuotaMargin) -> bool:
        """Whether what one gateway gives is in no hurry to be told."""
        most = margin.max_grant(self.tenant) * self.reachable_fraction
        if self.remaining(now_ms, margin) < most * _AMPLE_FRACTION:
            return False
        ample = self.tenant.burst * self.reachable_fraction * _AMPLE_FRACTION
        return min(self.level, self.partial_level) > ample

    def remaining(self, now_ms: int, margin: QuotaMargin) -> float:
        """Give what the window still has room for.

        Explanation
        -----------
        What the silent may be giving grows from nothing to their part of a
        whole window.
        """
        most = margin.max_grant(self.tenant)
        silent_fraction = min(
            1, (now_ms - self.partition_start_ms) / margin.window_ms
        )
        known_fraction = 1 - (1 - self.reachable_fraction) * silent_fraction
        return most * known_fraction - self.window.total(now_ms)

    def refill(
        self, now_ms: int, margin: QuotaMargin, reachable_fraction: float
    ) -> None:
        """Let flow in what has come since the last time.

        Explanation
        -----------
        Who is silent may still be giving its equal part, and gives no more
        if it hears nobody; the rest is for those that hear each other.  An
        equal part for each of them alone would refuse what is owed where the
        callers of a tenant are uneven over the gateways.

        Parameters
        ----------
        reachable_fraction : float
            The part of all gateways that is heard, this one among them.

        """
        factor = 1 + margin.share * _GRANTED_SHARE_FRACTION
        burst = self.tenant.burst * factor
        seconds = (now_ms - self.filled_ms) / MS_PER_SECOND
        flowed = margin.max_rate(self.tenant) * seconds
        base_level = self.base_level + self.tenant.rate * factor * seconds
        self.base_level = max(
            -margin.units * _GRANTED_UNITS_FRACTION, min(burst, base_level)
        )
        self.filled_ms = now_ms
        self.level = min(burst, self.level + flowed)
        if (
            reachable_fraction < self.reachable_fraction
            and self.partial_level > 0
        ):
            self.partial_level *= reachable_fraction / self.reachable_fraction
        if self.reachable_fraction == 1 and reachable_fraction < 1:
            self.partition_start_ms = now_ms
        self.reachable_fraction = reachable_fraction
        self.partial_level = min(
            burst * reachable_fraction,
            self.partial_level + flowed * reachable_fraction,
        )
