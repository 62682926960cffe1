"""`seampond explain`: one request, from the logs of several processes."""

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

_CONTEXT_SECONDS = 3.0
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
_OMITTED = frozenset(
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
        'timeout': "the route's time was over after it had been sent",
        'waited-too-long': 'no server had a place that was in time',
        'wrong-key': 'it carried no key, or one that no tenant holds',
    }
)


class RequestNotFoundError(SeampondError):
    """No log file has a line of the request."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log; `seconds` is its process's time of day."""

    process: str
    seconds: float
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """What happened."""
        return str(self.fields.get('event', ''))


def _parse_line(text: str, source: str) -> LogLine | None:
    # What stands before the object is the collector's own prefix.
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = datetime.strptime(fields['time'], _TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(fields.get('process') or source, at.timestamp(), fields)


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Give the lines of log files; what is no line of ours is passed over.

    Raises
    ------
    SeampondError
        If a file cannot be read.

    """
    for path in paths:
        try:
            texts = path.read_text(encoding='utf-8', errors='replace')
        except OSError as error:
            raise SeampondError(
                f'{path}: cannot be read: {error.strerror}', step='explain'
            ) from error
        for text in texts.splitlines():
            line = _parse_line(text, path.stem)
            if line is not None:
                yield line


def _precedes_decision(line: LogLine, over: LogLine) -> bool:
    if line.process != over.process or line.event not in _STATE_EVENTS:
        return False
    return 0 <= over.seconds - line.seconds <= _CONTEXT_SECONDS


def select_lines(request: str, lines: Iterable[LogLine]) -> list[LogLine]:
    """Give the lines of a request, and what its processes believed before.

    Raises
    ------
    NoLineError
        If there is none.

    """
    known = list(lines)
    own = [line for line in known if line.fields.get('request') == request]
    if not own:
        raise RequestNotFoundError(
            f'no line of request {request!r}; name the logs of all gateways',
            step='explain',
        )
    ends = [line for line in own if line.event == _REQUEST_OVER_EVENT] or own
    context = [
        line
        for line in known
        if any(_precedes_decision(line, end) for end in ends)
    ]
    chosen = own + context
    return sorted(chosen, key=lambda line: line.seconds)


def _format_line(line: LogLine) -> str:
    details = ', '.join(
        f'{name} {text}'
        for name, text in line.fields.items()
        if name not in _OMITTED and text not in (None, '')
    )
    moment = str(line.fields['time']).partition(' ')[2]
    return f'{moment} {line.process}: {line.event} ({details})'


def _format_attempt(one: dict[str, Any]) -> str:
    text = (
        'sent to {server}: thought to hold {load}, pace {pace}, first byte '
        'expected after {expected_ms} ms'
    ).format_map(one)
    came = one['first_ms']
    first = f'came after {came} ms' if came >= 0 else 'never came'
    return f'    {text}, {first}; {one["outcome"]}'


def explain_lines(lines: Iterable[LogLine]) -> list[str]:
    """Give the story of a request, the deciding step last.

    Parameters
    ----------
    lines : Iterable[LogLine]
        What :func:`select_lines` gave.

    """
    story: list[str] = []
    for line in lines:
        story.append(_format_line(line))
        if line.event != _REQUEST_OVER_EVENT:
            continue
        story.extend(_format_attempt(one) for one in line.fields['tried'])
        outcome = str(line.fields['outcome']).removeprefix('cut: ')
        meaning = _OUTCOME_MEANINGS.get(
            outcome, 'see the cause in OPERATORS.md'
        )
        story.append(f'  decided at {line.process}: {outcome}: {meaning}')
    return story


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
        """Print the lines in order and what decided."""
        paths = [Path(name) for name in self.argument('files')]
        lines = select_lines(self.argument('request'), read_lines(paths))
        story = explain_lines(lines)
        if self.option('json'):
            self.line(json.dumps([line.fields for line in lines]))
        else:
            self.line('\n'.join(story))
        return EXIT_OK
