"""`python -m seampond.gateway SETTINGS`: run one gateway.

The operators' command line imports every role; without them a gateway starts
faster.
"""

import asyncio
import sys
from contextlib import closing
from functools import partial
from pathlib import Path

from seampond.errors import SettingsError
from seampond.gateway.daemon import run_gateway
from seampond.logs import set_up_logs
from seampond.run import run_daemon
from seampond.settings.gateway import load_gateway
from seampond.suspension import SuspensionAwareLoop

_EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Run a gateway until a signal; return the exit status."""
    if len(arguments) != 1:
        sys.stderr.write('usage: python -m seampond.gateway SETTINGS\n')
        return _EXIT_USAGE
    read = partial(load_gateway, Path(arguments[0]))
    try:
        settings = read()
    except SettingsError as error:
        sys.stderr.write(f'{error}\n')
        return _EXIT_USAGE
    logs = set_up_logs(settings.logs.level, process=settings.name)
    with closing(logs):
        with asyncio.Runner(loop_factory=SuspensionAwareLoop) as runner:
            runner.run(run_daemon(run_gateway, settings, read))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
