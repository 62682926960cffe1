"""The `seampond explain` command: one request in the logs of gateways."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from types import MappingProxyType
from typing import Any

from cleo.helpers import argument

from seampond.errors import SeampondError
from seampond.operators.base import EXIT_OK, BaseCommand, json_option

_CONTEXT_SPAN_S = 3.0
_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
_REQUEST_OVER_EVENT = 'request over'
_STATE_EVENTS = frozenset(
    (
        'configuration in force',
        'gateway heard',
        'gateway silent',
        'gateway stops',
        'history gone',
        'server gone',
        'server leaves',
        'stale answer',
        'store call failed',
    )
)
_OMITTED_FIELDS = frozenset(
    ('time', 'level', 'logger', 'event', 'process', 'request', 'tried')
)
_OUTCOME_MEANINGS = MappingProxyType(
    {
        'answered': 'a server answered; see its try',
        'caller-gone': 'the caller left before the answer was whole',
        'configuration-unproved': 'the store had not answered of late, so a '
        'key that was taken away might have been served',
        'in-doubt': 'it was sent and no sound answer came; it may have run',
        'no-route': 'the configuration has no route for its host and path',
        'no-server': 'the list named no server of the pool that takes work',
        'not-ready': 'no configuration was known yet',
        'not-run': 'servers rejected it or could not be reached',
        'over-quota': "the tenant's limit was used up",
        'overload': 'a request of a higher rank gave up, so lower ones had to',
        'servers-resting': 'each server of the pool had asked for rest',
        'quarantined': 'servers crashed under it, or under a part of its '
        'prompt; see `request quarantined` with its fingerprint or parts',
        'timeout': "the route's time was over after it had been sent",
        'version-gone': 'the version that began the stream no longer serves',
        'version-unknown': 'nobody knew the version that began the stream',
        'waited-too-long': 'no server had a place that was in time',
        'wrong-key': 'it carried no key, or one that no tenant holds',
    }
)


class RequestNotFoundError(SeampondError):
    """No log file contains a line of the request."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Attributes
    ----------
    process : str
        The process that wrote the line.
    seconds : float
        POSIX timestamp by the clock of that process.
    fields : dict[str, Any]
        The fields of the JSON object.

    """

    process: str
    seconds: float
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """The name of the logged event."""
        return str(self.fields.get('event', ''))


def _parse_line(text: str, source: str) -> LogLine | None:
    # A log collector may prefix the JSON object with text of its own.
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        written_at = datetime.strptime(fields['time'], _TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(
        fields.get('process') or source, written_at.timestamp(), fields
    )


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the parsed lines of log files; skip all other lines.

    Raises
    ------
    SeampondError
        If a file cannot be read.

    """
    for path in paths:
        try:
            log_text = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise SeampondError(
                f'{path}: cannot be read: {error.strerror}', step='explain'
            ) from error
        for text in log_text.splitlines():
            line = _parse_line(text, path.stem)
            if line is not None:
                yield line


def _precedes_decision(line: LogLine, decision: LogLine) -> bool:
    if line.process != decision.process or line.event not in _STATE_EVENTS:
        return False
    return 0 <= decision.seconds - line.seconds <= _CONTEXT_SPAN_S


def select_lines(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Return the lines of a request and the state events shortly before it.

    Raises
    ------
    NoLineError
        If no line belongs to the request.

    """
    all_lines = list(lines)
    request_lines = [
        line for line in all_lines if line.fields.get('request') == request
    ]
    if not request_lines:
        raise RequestNotFoundError(
            f'no line of request {request!r}; name the logs of all gateways',
            step='explain',
        )
    decisions = [
        line for line in request_lines if line.event == _REQUEST_OVER_EVENT
    ] or request_lines
    context = [
        line
        for line in all_lines
        if any(_precedes_decision(line, decision) for decision in decisions)
    ]
    selected = request_lines + context
    return sorted(selected, key=lambda line: line.seconds)


def _format_line(line: LogLine) -> str:
    details = ', '.join(
        f'{name} {text}'
        for name, text in line.fields.items()
        if name not in _OMITTED_FIELDS and text not in (None, '')
    )
    time_of_day = str(line.fields['time']).partition(' ')[2]
    return f'{time_of_day} {line.process}: {line.event} ({details})'


def _format_attempt(attempt: dict[str, Any]) -> str:
    text = (
        'sent to {server}: thought to hold {load}, pace {pace}, first byte '
        'expected after {expected_ms} ms'
    ).format_map(attempt)
    first_ms = attempt['first_ms']
    arrival = f'came after {first_ms} ms' if first_ms >= 0 else 'never came'
    return f'    {text}, {arrival}; {attempt["outcome"]}'


def explain_lines(lines: Iterable[LogLine]) -> list[str]:
    """Return the course of a request as text, the deciding step last.

    Parameters
    ----------
    lines : Iterable[LogLine]
        The lines that :func:`select_lines` returned.

    """
    report_lines: list[str] = []
    for line in lines:
        report_lines.append(_format_line(line))
        if line.event != _REQUEST_OVER_EVENT:
            continue
        report_lines.extend(
            _format_attempt(attempt) for attempt in line.fields['tried']
        )
        outcome = str(line.fields['outcome']).removeprefix('cut: ')
        meaning = _OUTCOME_MEANINGS.get(
            outcome, 'see the cause in OPERATORS.md'
        )
        report_lines.append(
            f'  decided at {line.process}: {outcome}: {meaning}'
        )
    return report_lines


class ExplainCommand(BaseCommand):
    """`seampond explain`."""

    name = 'explain'
    description = 'Tells the story of one request from log files.'
    arguments = [
        argument('request', 'The id of the request.'),
        argument('files', 'Log files of gateways.', multiple=True),
    ]
    options = [json_option()]

    def run_command(self) -> int:
        """Print the lines in order of time and the decision."""
        paths = [Path(name) for name in self.argument('files')]
        lines = select_lines(self.argument('request'), read_lines(paths))
        report_lines = explain_lines(lines)
        if self.option('json'):
            self.line(json.dumps([line.fields for line in lines]))
        else:
            self.line('\n'.join(report_lines))
        return EXIT_OK
