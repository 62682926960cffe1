"""Retries within a share of the fresh traffic."""

_CREDIT_MAX = 20.0


class RetryBudget:
    """Earns a share of a retry with each fresh request.

    Parameters
    ----------
    share : float
        Retries for each fresh request, 0 to 1.

    Examples
    --------
    >>> budget = RetryBudget(0.1)
    >>> [budget.take() for _ in range(21)].count(True)
    20

    """

    def __init__(self, share: float) -> None:
        """Start with enough credit for one agent's planned stop."""
        self._share = share
        self._credit = _CREDIT_MAX

    def earn(self) -> None:
        """Note one fresh request."""
        self._credit = min(_CREDIT_MAX, self._credit + self._share)

    def take(self) -> bool:
        """Take one retry, if there is credit for it."""
        if self._credit < 1:
            return False
        self._credit -= 1
        return True
