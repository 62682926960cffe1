"""Conversion of the settings' bounds for a gateway's components."""

from seampond.clock import MS_PER_SECOND
from seampond.rollouts.manager import ExposureLimits
from seampond.settings.gateway import BoundSettings
from seampond.sharing import QuotaMargin

# Leaves time for requests to arrive within the bound.
_GRACE_FRACTION = 0.7


def compute_grace_ms(bounds: BoundSettings) -> int:
    """Return how long a server without a row stays a fallback.

    Explanation
    -----------
    It counts from the last proof that the row existed.
    """
    return round(bounds.drain_ms * _GRACE_FRACTION)


def make_quota_margin(bounds: BoundSettings) -> QuotaMargin:
    """Return what may be granted beyond a quota."""
    return QuotaMargin(
        bounds.quota_overrun,
        bounds.quota_slack,
        round(bounds.quota_window_s * MS_PER_SECOND),
    )


def make_exposure_limits(bounds: BoundSettings) -> ExposureLimits:
    """Return how many requests an unproved version may receive."""
    return ExposureLimits(bounds.expose_share, bounds.expose_slack)
