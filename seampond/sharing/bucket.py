"""Token bucket of one tenant and the margin allowed beyond its quota."""

from dataclasses import dataclass

from seampond.clock import MS_PER_SECOND
from seampond.forwarding.models import Tenant
from seampond.sharing.fairness import Fairness
from seampond.sharing.grant_window import GrantWindow

# Fractions of the margin that are granted; the rest covers grants that gateways
# have not reported to each other yet.
_GRANTED_SHARE_FRACTION = 0.6
_GRANTED_UNITS_FRACTION = 0.55
# Fraction of the maximum grant that is refilled continuously; the rest covers
# gateways that have just started or were disconnected.
_FLOW_FRACTION = 0.9
# Grants from a bucket above this fraction of its burst can be reported with
# the next regular heartbeat.
_AMPLE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class QuotaMargin:
    """What may be granted beyond a quota in any sliding window.

    Parameters
    ----------
    share : float
        Fraction of the quota.
    units : float
        Fixed number of units in addition.
    window_ms : int
        Length of the window.

    """

    share: float
    units: float
    window_ms: int = 8000

    def max_grant(self, tenant: Tenant) -> float:
        """Return the units that all gateways together may grant in a window.

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
        """Return the sustained refill rate in units per second.

        Explanation
        -----------
        The bound applies to each window, so the margin is available in each of
        them.  A bucket refilled at the plain rate would grant it only once.
        """
        max_units = self.max_grant(tenant) * _FLOW_FRACTION
        return max(tenant.rate, max_units * MS_PER_SECOND / self.window_ms)

    def reserve(self, tenant: Tenant) -> float:
        """Return the units that cover grants not reported yet."""
        quota = tenant.rate * self.window_ms / MS_PER_SECOND + tenant.burst
        left = quota * self.share * (1 - _GRANTED_SHARE_FRACTION)
        return left + self.units * (1 - _GRANTED_UNITS_FRACTION)


@dataclass(slots=True)
class Bucket:
    """Token bucket of one tenant as known here; a negative level is a debt.

    Parameters
    ----------
    fairness : Fairness
        Recent demand of each rank at this gateway.
    window : GrantWindow
        Known grants of all gateways in the last window.
    level : float
        Units that all gateways together may still grant.
    base_level : float
        The level without any refill beyond the tenant's rate.
    partial_level : float
        Units that the reachable gateways may grant while another is silent.
    reachable_fraction : float
        Fraction of all gateways that is reachable, as of the last refill.
    spent : float
        Units granted by this process since it started.
    reported : float
        How many of them have been sent to the other gateways.
    partition_start_ms : int
        Time since which some gateway is silent.

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
        """Deduct units granted here; a negative number is a refund."""
        self.deduct(now_ms, units)
        self.spent += units

    def deduct(self, now_ms: int, units: float) -> None:
        """Deduct units granted by any gateway."""
        self.level -= units
        self.base_level -= units
        self.partial_level -= units
        self.window.add(now_ms, units)

    def update_limits(self, tenant: Tenant) -> None:
        """Apply the limits of a newer configuration.

        Explanation
        -----------
        Changed limits start a new window, since earlier grants were made under
        the previous ones.
        """
        if (tenant.rate, tenant.burst) != (self.tenant.rate, self.tenant.burst):
            self.window.clear()
        self.tenant = tenant

    def has_ample_level(self, now_ms: int, margin: QuotaMargin) -> bool:
        """Return True if grants need no immediate report to the others."""
        max_units = margin.max_grant(self.tenant) * self.reachable_fraction
        if self.remaining(now_ms, margin) < max_units * _AMPLE_FRACTION:
            return False
        ample = self.tenant.burst * self.reachable_fraction * _AMPLE_FRACTION
        return min(self.level, self.partial_level) > ample

    def remaining(self, now_ms: int, margin: QuotaMargin) -> float:
        """Return the units that may still be granted in the current window.

        Explanation
        -----------
        The amount that silent gateways may have granted grows linearly to their
        fraction of a full window.
        """
        max_units = margin.max_grant(self.tenant)
        silent_fraction = min(
            1, (now_ms - self.partition_start_ms) / margin.window_ms
        )
        known_fraction = 1 - (1 - self.reachable_fraction) * silent_fraction
        return max_units * known_fraction - self.window.total(now_ms)

    def refill(
        self, now_ms: int, margin: QuotaMargin, reachable_fraction: float
    ) -> None:
        """Add the units accrued since the last refill.

        Explanation
        -----------
        A silent gateway may still grant its equal fraction.  The reachable
        gateways share the rest as one pool, so that a tenant whose requests
        are spread unevenly over them still gets its quota.

        Parameters
        ----------
        reachable_fraction : float
            Fraction of all gateways that is reachable, this one included.

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
