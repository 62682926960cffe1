"""The rules and what happens when one is found broken."""

import enum
import logging
from collections.abc import Callable

from seampond.errors import PromiseError

_logger = logging.getLogger(__name__)


@enum.unique
class Rule(enum.Enum):
    """What the users were promised; the value is the metric's label."""

    single_grant = 'single-grant'
    single_dispatch = 'single-dispatch'
    shed_order = 'shed-order'
    whole_answer = 'whole-answer'
    own_answer = 'own-answer'
    true_not_run = 'true-not-run'
    single_claim = 'single-claim'
    no_work_when_leaving = 'no-work-when-leaving'
    no_work_in_rest = 'no-work-in-rest'
    no_work_above_limit = 'no-work-above-limit'
    drain = 'drain'
    generation_upwards = 'generation-upwards'
    bounded_attempts = 'bounded-attempts'
    proved_key = 'proved-key'
    nothing_open_when_done = 'nothing-open-when-done'
    quarantine = 'quarantine'


class Promises:
    """Checks rules; counts, logs and raises each violation.

    Parameters
    ----------
    count : Callable[[str], None]
        Counts one violation of the named rule.

    Examples
    --------
    >>> promises = Promises(lambda rule: None)
    >>> promises.check(Rule.drain, True, step='stop')

    """

    def __init__(self, count: Callable[[str], None]) -> None:
        """Start with no violation seen."""
        self._count = count
        self._broken = 0

    @property
    def broken(self) -> int:
        """How many violations this process has seen."""
        return self._broken

    def check(
        self, rule: Rule, holds: bool, *, step: str, peer: str = ''
    ) -> None:
        """Raise `PromiseError` unless `holds`.

        Explanation
        -----------
        The check stands before the act that would break the rule, so that
        raising also prevents the act.

        Raises
        ------
        PromiseError
            If the rule does not hold.

        """
        if holds:
            return
        self._broken += 1
        self._count(rule.value)
        _logger.error(
            'promise broken',
            extra={'rule': rule.value, 'step': step, 'peer': peer},
        )
        raise PromiseError(
            f'would break the rule {rule.value}', step=step, peer=peer
        )
