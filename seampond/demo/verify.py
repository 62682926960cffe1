"""Check the responses of a run against the executions by the engines."""

from collections.abc import Iterable

from seampond.demo.fleet import Fleet


def find_violations(
    fleet: Fleet, reported_by_callers: Iterable[str], not_run: Iterable[str]
) -> list[str]:
    """Return the violations found, one line each.

    Parameters
    ----------
    reported_by_callers : Iterable[str]
        Violations that the callers found.
    not_run : Iterable[str]
        Ids of the requests that were rejected as not run.

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
