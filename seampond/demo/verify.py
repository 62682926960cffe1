"""Hold the demo's outcome against the engines' own count of runs."""

from collections.abc import Iterable

from seampond.demo.fleet import Fleet


def find_violations(
    fleet: Fleet, reported_by_callers: Iterable[str], not_run: Iterable[str]
) -> list[str]:
    """Give every promise that did not hold, as a line each.

    Parameters
    ----------
    reported_by_callers : Iterable[str]
        What the callers found wrong themselves.
    not_run : Iterable[str]
        Ids of the requests that were refused as not run.

    """
    violations = list(reported_by_callers)
    executed: set[str] = set()
    for running in fleet.engines:
        engine = running.engine
        executed.update(engine.runs)
        violations += [
            f'request {request_id} ran {count} times'
            for request_id, count in engine.runs.items()
            if count > 1
        ]
        violations += [
            f'idempotency key {key} ran {count} times'
            for key, count in engine.keys.items()
            if count > 1
        ]
    violations += [
        f'request {request_id} was refused as not run, and ran'
        for request_id in not_run
        if request_id in executed
    ]
    if fleet.promises_broken:
        violations.append(
            f'{fleet.promises_broken} promises broken in the program'
        )
    return violations
