"""How many requests one gateway may send to a version that is not proved."""

from dataclasses import dataclass

# What is counted here may not reach a server, and what reaches one late
# belongs to a smaller sum.
_SAFE_PART = 0.8


@dataclass(slots=True)
class Exposure:
    """This gateway's part of what all may send to an unproved version.

    Explanation
    -----------
    The bound holds over all gateways: a share of all requests since the order
    and a fixed allowance.  Each keeps to the share of its own requests and to
    an equal part of the allowance, so the sum holds without a message.  One
    that has started since the order has no part of the allowance: an earlier
    life may have spent it.

    Parameters
    ----------
    share : float
        Requests for each request that reaches the pool.
    allowance : float
        Our part of the fixed number.
    sent, exposed : int
        Our requests since the order, and those among them to the version.

    Examples
    --------
    >>> exposure = Exposure(0.1, 1)
    >>> [exposure.record(is_new=exposure.may_expose) for _ in range(40)].count(1)
    4

    """

    share: float
    allowance: float = 0
    sent: int = 0
    exposed: int = 0

    @property
    def may_expose(self) -> bool:
        """Whether one more may be sent there."""
        room = self.share * (self.sent + 1) + self.allowance
        return self.exposed + 1 <= _SAFE_PART * room

    def record(self, *, is_new: bool) -> int:
        """Count a request; give 1 if it is exposed."""
        self.sent += 1
        self.exposed += is_new
        return int(is_new)
