"""The bounds of the settings, as the parts of a gateway take them."""

from seampond.clock import MS_PER_SECOND
from seampond.rollouts.manager import ExposureLimits
from seampond.settings.gateway import BoundSettings
from seampond.sharing import QuotaMargin

# Less than the bound: what is sent has to arrive inside it.
_GRACE_PART = 0.7


def compute_grace_ms(bounds: BoundSettings) -> int:
    """Give how long a server whose row has gone is a fallback."""
    return round(bounds.drain_ms * _GRACE_PART)


def make_quota_margin(bounds: BoundSettings) -> QuotaMargin:
    """Give what may be given beyond a quota."""
    return QuotaMargin(
        bounds.quota_overrun,
        bounds.quota_slack,
        round(bounds.quota_window_s * MS_PER_SECOND),
    )


def make_exposure_limits(bounds: BoundSettings) -> ExposureLimits:
    """Give what may be sent to a version that is not proved."""
    return ExposureLimits(bounds.expose_share, bounds.expose_slack)
