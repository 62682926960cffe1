"""What blame by prompt parts and lent connections cost.

`python -m seampond.slopes.quarantine`
"""

import random
import sys
import timeit

from seampond.clock import Clock
from seampond.loans.messages import ConnectionRequest, encode_loan
from seampond.quarantine.models import CrashReport
from seampond.quarantine.suspects import Suspects
from seampond.sharing import (
    Heartbeat,
    compute_heartbeat_interval_ms,
)
from seampond.sharing.heartbeats import encode
from seampond.testing.gateways import build_job, build_quarantine

_KEY_BITS = 64
_PARTS = 4
_RUNS_PER_CRASH = 10
_REPEATS = 1000
_BEST_OF = 5
_US_PER_SECOND = 1_000_000
_FLEETS = (4, 30, 340)
_REPORTED_IN = 3
_SERVERS_ASKED = 32


def measure_check_us() -> float:
    """Return the time to check a request with some parts."""
    quarantine = build_quarantine()
    job = build_job(
        fingerprint=1, part_fingerprints=tuple(range(2, 2 + _PARTS))
    )
    timer = timeit.Timer(lambda: quarantine.check(job))
    return min(timer.repeat(_BEST_OF, _REPEATS)) / _REPEATS * _US_PER_SECOND


def build_reports(rng: random.Random) -> tuple[CrashReport, ...]:
    """Return the reports of one crash, as many as a heartbeat holds."""
    suspects = Suspects(Clock())
    incarnation = rng.getrandbits(_KEY_BITS)
    for _ in range(_RUNS_PER_CRASH * (1 + _PARTS)):
        suspects.record_crash(rng.getrandbits(_KEY_BITS), incarnation, 0)
    return tuple(suspects.list_crash_reports())


def main() -> int:
    """Print the costs."""
    rng = random.Random(1)
    plain = Heartbeat('g1', 1, 1)
    reports = build_reports(rng)
    report_bytes = len(encode(Heartbeat('g1', 1, 1, crashes=reports)))
    report_bytes -= len(encode(plain))
    sys.stdout.write(
        f'check of a request with {_PARTS} parts: {measure_check_us():.1f} us\n'
        f'one crash: {len(reports)} reports, {report_bytes} bytes\n'
    )
    for gateways in _FLEETS:
        sent = report_bytes * _REPORTED_IN * (gateways - 1)
        interval_ms = compute_heartbeat_interval_ms(gateways)
        sys.stdout.write(
            f'{gateways} gateways: {sent} bytes sent by one that saw it, '
            f'within {_REPORTED_IN * interval_ms:.0f} ms\n'
        )
    servers = tuple(rng.getrandbits(_KEY_BITS) for _ in range(_SERVERS_ASKED))
    loan = encode_loan(ConnectionRequest(1, servers, 1))
    sys.stdout.write(
        f'loan of connections to {_SERVERS_ASKED} servers: {len(loan)} bytes\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
