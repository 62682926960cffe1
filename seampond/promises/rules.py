"""Rules, and the checks that enforce them."""

import enum
import logging
from collections.abc import Callable

from seampond.errors import PromiseError

_logger = logging.getLogger(__name__)


@enum.unique
class Rule(enum.Enum):
    """A promise to users; the value is a metric label."""

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
    single_version = 'single-version'
    event_order = 'event-order'


class Promises:
    """Checks rules; counts, logs and raises violations.

    Parameters
    ----------
    count : Callable[[str], None]
        Counts a violation by the name of its rule.

    Examples
    --------
    >>> promises = Promises(lambda rule: None)
    >>> promises.check(Rule.drain, True, step='stop')

    """

    def __init__(self, count: Callable[[str], None]) -> None:
        """Initialize with no violations."""
        self._count = count
        self._violation_count = 0

    @property
    def broken(self) -> int:
        """The number of violations in this process."""
        return self._violation_count

    def check(
        self, rule: Rule, holds: bool, *, step: str, peer: str = ''
    ) -> None:
        """Raise `PromiseError` unless `holds`.

        Explanation
        -----------
        Checks are made before the action, so that the exception prevents a
        violation.

        Raises
        ------
        PromiseError
            If the rule does not hold.

        """
        if holds:
            return
        self._violation_count += 1
        self._count(rule.value)
        _logger.error(
            'promise broken',
            extra={'rule': rule.value, 'step': step, 'peer': peer},
        )
        raise PromiseError(
            f'would break the rule {rule.value}', step=step, peer=peer
        )
