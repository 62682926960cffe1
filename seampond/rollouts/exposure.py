"""Limit on the requests that a gateway sends to an unproved version."""

from dataclasses import dataclass

# Margin for requests that are counted here but arrive late or not at all.
_SAFETY_FACTOR = 0.8


@dataclass(slots=True)
class Exposure:
    """This gateway's part of the exposure limits of all gateways.

    Explanation
    -----------
    Each gateway applies the share to its own requests and gets an equal part
    of the allowance, so the limits hold for the sum without communication.  A
    gateway that starts after the order gets no allowance, since an earlier
    incarnation may have used it.

    Parameters
    ----------
    share : float
        Share of this gateway's requests.
    allowance : float
        Number of further requests.
    sent, exposed : int
        Requests since the order, and those of them sent to the new version.

    Examples
    --------
    >>> exposure = Exposure(0.1, 1)
    >>> sent = [exposure.record(is_new=exposure.may_expose) for _ in range(40)]
    >>> sent.count(1)
    4

    """

    share: float
    allowance: float = 0
    sent: int = 0
    exposed: int = 0

    @property
    def may_expose(self) -> bool:
        """Whether one more request may be sent to the new version."""
        limit = self.share * (self.sent + 1) + self.allowance
        return self.exposed + 1 <= _SAFETY_FACTOR * limit

    def record(self, *, is_new: bool) -> int:
        """Count a request; return 1 if it went to the new version, else 0."""
        self.sent += 1
        self.exposed += is_new
        return int(is_new)
