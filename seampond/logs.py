"""One structured line for each change of state, on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_RENAMED = (
    ('asctime', 'time'),
    ('levelname', 'level'),
    ('name', 'logger'),
    ('message', 'event'),
)


def set_up_logs(level: str) -> None:
    """Log JSON lines of `level` and above.

    Parameters
    ----------
    level : str
        A name that `logging` knows, for example ``INFO``.

    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(_FORMAT, rename_fields=dict(_RENAMED), timestamp=False)
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    # The library logs each transition; our own lines say what changed.
    logging.getLogger('transitions').setLevel(logging.WARNING)
    logging.getLogger('uvicorn').setLevel(logging.CRITICAL)
