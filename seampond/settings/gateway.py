"""The settings of a gateway."""

from pydantic import Field

from seampond.settings.models import (
    Address,
    LogSettings,
    Milliseconds,
    Name,
    Section,
)

_HISTORY_PART = 0.75


class StoreSettings(Section):
    """The store that a gateway's beliefs come from.

    Parameters
    ----------
    wait_ms : int
        How long the store holds a call while nothing changes.
    history_ms : int
        How long the store knows what has changed.

    """

    address: Address
    wait_ms: Milliseconds = 15_000
    history_ms: Milliseconds = 20_000

    @property
    def call_ms(self) -> int:
        """How long a call waits, so that the history outlasts it.

        Examples
        --------
        >>> StoreSettings(address='10.0.0.1:80', history_ms=4000).call_ms
        3000

        """
        return min(self.wait_ms, round(self.history_ms * _HISTORY_PART))


class BoundSettings(Section):
    """The bounds that the gateways keep together.

    Parameters
    ----------
    revoke_ms : int
        How long after its removal a key may still be served.
    proof_margin_ms : int
        How much earlier than that a gateway without proof stops.
    drain_ms : int
        How long after the list has told of its end a server may be sent to.
    retry_ratio : float
        Second sends for each fresh request, in any window.
    quota_overrun, quota_slack : float
        In any window all gateways together may give a share of a quota and
        some units more than the quota.

    """

    revoke_ms: Milliseconds = 5000
    proof_margin_ms: int = Field(default=400, ge=0)
    drain_ms: int = Field(default=2000, ge=0)
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_allowance: float = Field(default=20, ge=0)
    retry_window_s: float = Field(default=10, gt=0)
    quota_overrun: float = Field(default=0.1, ge=0)
    quota_slack: float = Field(default=0, ge=0)
    stop_ms: Milliseconds = 8000


class GatewaySettings(Section):
    """`seampond gateway`."""

    name: Name
    zone: str
    listen: Address
    ready_listen: Address
    metrics_listen: Address
    peer_listen: Address
    store: StoreSettings
    bounds: BoundSettings = BoundSettings()
    linger_ms: int = Field(default=2600, ge=0)
    logs: LogSettings = LogSettings()
