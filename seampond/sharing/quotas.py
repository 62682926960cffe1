"""Fleet-wide quotas: each gateway keeps a copy of every tenant's bucket."""

import math
import random
from collections.abc import Callable, Mapping

from seampond.clock import MS_PER_SECOND, Clock
from seampond.forwarding.models import Tenant
from seampond.sharing.bucket import Bucket, QuotaMargin
from seampond.sharing.fairness import Fairness
from seampond.sharing.grant_window import GrantWindow
from seampond.sharing.hashing import hash_name
from seampond.sharing.heartbeats import Heartbeat
from seampond.sharing.peers import Peers, compute_sample_probability

# Fractions of the margin's units: how far below zero the level may be before a
# request is granted, and after.
_MIN_LEVEL_FRACTION = 0.1
_DEBT_FRACTION = 0.55
# Fraction of the burst below which less urgent requests are admitted at random.
_LOW_LEVEL_FRACTION = 0.25
# Smaller debt allowed after a start without known levels, since the previous
# incarnation may have left a full one.  What a start grants beyond the refill
# then stays below the rest of the margin.  The full debt is allowed after one
# window, or once the levels are known.
_STARTUP_DEBT_FRACTION = 0.3
# Fraction of the margin's units that may stay unreported.
_URGENT_FRACTION = 0.04
# Fraction of the reserve beyond which grants per heartbeat interval lower the
# units that may stay unreported.
_INTERVAL_FRACTION = 0.25
_MAX_WAIT_MS = 10_000


class Quotas:
    """Quota buckets of all tenants, as known to this gateway.

    Explanation
    -----------
    Each gateway keeps its own copy of a tenant's bucket.  It is refilled at the
    tenant's rate and drained by local grants and by those that the other
    gateways report in heartbeats.  Unreported grants are the error; they are
    deducted once reported, and large ones are reported at once.  While a
    gateway is silent, the others together grant no more than their fraction.

    Part of the margin is added to the rate and may be used as debt; the rest
    covers late reports.  The grants of the last window bound both.

    A new gateway adopts the levels of one that has run for a full window.
    Without one, its buckets start empty and with a smaller debt.

    Parameters
    ----------
    margin : QuotaMargin
        What all gateways together may grant beyond a tenant's quota.
    request_heartbeat : Callable[[], None]
        Called to send a heartbeat at once.

    """

    def __init__(
        self,
        peers: Peers,
        margin: QuotaMargin,
        clock: Clock,
        request_heartbeat: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """Start without any buckets."""
        self._peers = peers
        self.margin = margin
        self._clock = clock
        self._request_heartbeat = request_heartbeat
        self._rng = rng
        self._started_ms = clock.now()
        # By hash of the tenant's name.
        self._buckets: dict[int, Bucket] = {}
        # Grants of other gateways to tenants without a bucket here.
        self._early_grants: dict[int, float] = {}
        # Levels adopted from an older gateway, and when.
        self._received_levels: dict[int, int] = {}
        self._levels_received_ms: int | None = None
        # By gateway and tenant: incarnation and units granted.
        self._last_reports: dict[tuple[str, int], tuple[int, float]] = {}

    @property
    def uptime_ms(self) -> int:
        """Time since this process started."""
        return self._clock.now() - self._started_ms

    def charge(
        self,
        tenant: Tenant,
        units: float,
        rank: int = 0,
        *,
        has_idle_slots: bool = True,
    ) -> int:
        """Charge units to a tenant's bucket.

        Explanation
        -----------
        A request is admitted by the level before it, whatever its size, and
        may leave a debt; otherwise small requests would keep the bucket too
        empty for large ones.  While the level is low, less urgent requests
        are admitted at random and must leave the units reserved for urgent
        ones.

        Parameters
        ----------
        rank : int
            Urgency of the request, 0 is the highest.
        has_idle_slots : bool
            Whether servers have slots that no other request waits for; only
            then the refill beyond the tenant's rate may be used.

        Returns
        -------
        int
            0 if granted, else the milliseconds until units may suffice.

        """
        bucket = self._refilled_bucket(tenant)
        level = bucket.level
        if not has_idle_slots:
            level = min(level, bucket.base_level)
        wait_ms = self._wait_ms(bucket, level, units, rank)
        bucket.fairness.record(rank, units, is_granted=not wait_ms)
        if wait_ms:
            return wait_ms
        bucket.spend(self._clock.now(), units)
        if self._is_urgent(bucket):
            self._request_heartbeat()
        return 0

    def refund(self, tenant: Tenant, units: float) -> None:
        """Refund the units of a request that was not executed."""
        bucket = self._buckets.get(hash_name(tenant.name))
        if bucket is not None:
            bucket.spend(self._clock.now(), -units)

    def spent_by_tenant(self) -> Mapping[int, float]:
        """Return the units granted here, by hash of the tenant's name."""
        return {key: bucket.spent for key, bucket in self._buckets.items()}

    def record_sent(self) -> None:
        """Record that the units granted here were sent to all gateways."""
        for bucket in self._buckets.values():
            bucket.reported = bucket.spent

    def levels_for_newcomers(self) -> Mapping[int, int]:
        """Return the level of each bucket if another gateway needs them."""
        if not self._has_fleet_levels or not self._peers.has_newcomer:
            return {}
        for bucket in self._buckets.values():
            self._refill(bucket)
        return {
            key: math.floor(tenant_bucket.level)
            for key, tenant_bucket in self._buckets.items()
        }

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply the grants and levels that another gateway reports."""
        if heartbeat.levels and self.uptime_ms < self.margin.window_ms:
            self._apply_levels(heartbeat.levels)
        for tenant, units in heartbeat.spent.items():
            granted = self._record_report(heartbeat, tenant, units)
            if not granted:
                continue
            bucket = self._buckets.get(tenant)
            if bucket is None:
                self._early_grants[tenant] = (
                    self._early_grants.get(tenant, 0) + granted
                )
            else:
                self._refill(bucket)
                bucket.deduct(self._clock.now(), granted)

    @property
    def _has_fleet_levels(self) -> bool:
        """Whether the local levels include the grants of all gateways."""
        is_old = self.uptime_ms >= self.margin.window_ms
        return is_old or self._levels_received_ms is not None

    def _is_urgent(self, bucket: Bucket) -> bool:
        """Return True if local grants should be reported at once.

        Explanation
        -----------
        Only a bucket that runs low needs it.  Where the reserve is small
        against the grants between two heartbeats, each gateway may leave less
        unreported the more gateways there are.
        """
        if bucket.has_ample_level(self._clock.now(), self.margin):
            return False
        unreported = bucket.spent - bucket.reported
        max_units = self.margin.units * _URGENT_FRACTION
        rate = self.margin.max_rate(bucket.tenant)
        interval_units = (
            rate * self._peers.heartbeat_interval_ms / MS_PER_SECOND
        )
        reserve = self.margin.reserve(bucket.tenant)
        if interval_units > reserve * _INTERVAL_FRACTION:
            max_units *= compute_sample_probability(self._peers.count)
        return unreported > max_units

    def _apply_levels(self, levels: Mapping[int, int]) -> None:
        """Adopt the levels of a gateway that knows them.

        Explanation
        -----------
        A gateway that was suspended has missed grants and reports levels that
        are too high, so the lowest report of each bucket is used.
        """
        if self._levels_received_ms is not None:
            for key, level in levels.items():
                self._lower_level(key, level)
            return
        self._received_levels = dict(levels)
        self._levels_received_ms = self._clock.now()
        self._early_grants.clear()
        for key, bucket in self._buckets.items():
            self._refill(bucket)
            # The sender may not know the local grants.
            bucket.level = levels.get(key, bucket.level) - bucket.spent

    def _lower_level(self, key: int, level: int) -> None:
        """Lower one level if the reported one is lower."""
        bucket = self._buckets.get(key)
        if bucket is None:
            self._received_levels[key] = min(
                self._received_levels.get(key, level), level
            )
            return
        self._refill(bucket)
        bucket.level = min(bucket.level, level)

    def _record_report(
        self, heartbeat: Heartbeat, tenant: int, units: float
    ) -> float:
        """Return the units granted since the last heartbeat of the sender."""
        key = (heartbeat.name, tenant)
        previous = self._last_reports.get(key)
        self._last_reports[key] = (heartbeat.incarnation, units)
        if previous is None:
            # Grants from before the local start are not charged here.
            return units if heartbeat.uptime_ms <= self.uptime_ms else 0
        incarnation, before = previous
        return units - before if incarnation == heartbeat.incarnation else units

    def _wait_ms(
        self, bucket: Bucket, level: float, units: float, rank: int
    ) -> int:
        """Return the time until units may suffice, 0 if they do now."""
        shortfall = self._shortfall(level, units, 1)
        reserved = bucket.fairness.reserved_above(rank)
        max_units = (
            bucket.tenant.burst + self.margin.units * self._debt_fraction
        )
        if 0 < reserved <= max_units:
            shortfall = max(
                shortfall, self._shortfall(level - units, reserved, 1)
            )
        if rank and level < bucket.tenant.burst * _LOW_LEVEL_FRACTION:
            if self._rng.random() > 1 / (1 + rank):
                shortfall = max(
                    shortfall, bucket.tenant.burst * _LOW_LEVEL_FRACTION - level
                )
        rate = self.margin.max_rate(bucket.tenant)
        now_ms = self._clock.now()
        shortfall = max(
            shortfall, units - bucket.remaining(now_ms, self.margin)
        )
        if not self._peers.all_reachable:
            reachable_fraction = self._peers.reachable_fraction
            shortfall = max(
                shortfall,
                self._shortfall(
                    bucket.partial_level, units, reachable_fraction
                ),
            )
            rate *= reachable_fraction
        if shortfall <= 0:
            return 0
        wait_ms = round(shortfall / max(1.0, rate) * MS_PER_SECOND) + 1
        return min(_MAX_WAIT_MS, wait_ms)

    def _shortfall(
        self, level: float, units: float, reachable_fraction: float
    ) -> float:
        """Return the units that a level lacks; at most 0 if it suffices."""
        margin = self.margin.units * reachable_fraction
        below = -margin * _MIN_LEVEL_FRACTION - level
        # Bounds the debt that a request larger than the burst may leave.
        debt = units - level - margin * self._debt_fraction
        return max(below, debt)

    @property
    def _debt_fraction(self) -> float:
        """Fraction of the margin's units that may be used as debt now."""
        return (
            _DEBT_FRACTION if self._has_fleet_levels else _STARTUP_DEBT_FRACTION
        )

    def _refilled_bucket(self, tenant: Tenant) -> Bucket:
        key = hash_name(tenant.name)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._make_bucket(tenant)
            self._buckets[key] = bucket
        bucket.update_limits(tenant)
        self._refill(bucket)
        return bucket

    def _make_bucket(self, tenant: Tenant) -> Bucket:
        key = hash_name(tenant.name)
        level: float = 0
        filled_ms = self._started_ms
        if self._levels_received_ms is not None:
            level = self._received_levels.get(key, level)
            filled_ms = self._levels_received_ms
        level -= self._early_grants.pop(key, 0)
        return Bucket(
            tenant,
            filled_ms,
            Fairness(self._clock),
            GrantWindow(self.margin.window_ms),
            level,
            level,
            min(0, level),
            self._peers.reachable_fraction,
        )

    def _refill(self, bucket: Bucket) -> None:
        bucket.refill(
            self._clock.now(), self.margin, self._peers.reachable_fraction
        )
        if self._peers.all_reachable:
            # Starting point for the time when a gateway falls silent.
            bucket.partial_level = bucket.level
