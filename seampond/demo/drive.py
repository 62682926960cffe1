"""Send the demo's calls and check each answer against its own request."""

import asyncio
import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import aiosonic
from aiosonic.exceptions import AiosonicError
from aiosonic.timeout import Timeouts

from seampond.clock import MS_PER_SECOND, Clock
from seampond.demo.fleet import Fleet
from seampond.demo.traffic import Call
from seampond.platform.http import open_client
from seampond.testing.engine.app import token_text

_ID_HEADER = 'x-request-id'
_TIMEOUT_SECONDS = 60
_FAILURES = (AiosonicError, OSError, EOFError, ValueError)
_END = 'data: [DONE]'


@dataclass
class TierReport:
    """How the calls of one tier went."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    computed: int = 0
    reused: int = 0


@dataclass
class DemoReport:
    """All tiers, and what was wrong."""

    tiers: dict[int, TierReport] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)

    def tier(self, number: int) -> TierReport:
        """Give the report of one tier."""
        return self.tiers.setdefault(number, TierReport())


@dataclass(frozen=True)
class Reply:
    """Status, headers and body of an answer."""

    status: int
    request_id: str
    body: bytes


def _events(body: bytes) -> list[dict[str, Any]]:
    lines = body.decode().splitlines()
    return [
        json.loads(line.removeprefix('data: '))
        for line in lines
        if line.startswith('data: {')
    ]


def _text_and_usage(call: Call, body: bytes) -> tuple[str, dict[str, Any]]:
    if not call.is_stream:
        content = json.loads(body)
        text: str = content['choices'][0]['message']['content']
        return text, content['usage']
    events = _events(body)
    if not body.decode().rstrip().endswith(_END):
        raise ValueError('the stream has no end mark')
    deltas = [event['choices'][0]['delta'] for event in events]
    text = ''.join(delta['content'] for delta in deltas)
    return text, events[-1]['usage']


def _check_chat(call: Call, reply: Reply, tier: TierReport) -> None:
    text, usage = _text_and_usage(call, reply.body)
    wanted = ''.join(
        token_text(reply.request_id, number)
        for number in range(call.max_tokens)
    )
    if text != wanted:
        raise ValueError('not the whole answer to its own request')
    reused = usage['prompt_tokens_details']['cached_tokens']
    tier.computed += usage['prompt_tokens'] - reused
    tier.reused += reused


def _note_refusal(reply: Reply, tier: TierReport, report: DemoReport) -> None:
    error = json.loads(reply.body)['error']
    reason = error['reason']
    tier.refused[reason] = tier.refused.get(reason, 0) + 1
    if error['run'] == 'no':
        report.not_run.append(error['request_id'])


def _check(call: Call, reply: Reply, report: DemoReport) -> None:
    tier = report.tier(call.tier)
    if reply.status >= HTTPStatus.BAD_REQUEST:
        _note_refusal(reply, tier, report)
    elif call.template.kind == 'model':
        _check_chat(call, reply, tier)
    elif json.loads(reply.body)['request_id'] != reply.request_id:
        raise ValueError("another request's answer")


def _target(call: Call) -> tuple[str, bytes]:
    """Give the path and the body of a call."""
    if call.template.kind == 'service':
        name = call.template.name
        return f'/services/{name}/check/{call.number}', b'{}'
    content = {
        'model': call.template.name,
        'messages': [{'role': 'user', 'content': call.prompt}],
        'max_tokens': call.max_tokens,
        'stream': call.is_stream,
    }
    return '/v1/chat/completions', json.dumps(content).encode()


async def _send(client: aiosonic.HTTPClient, fleet: Fleet, call: Call) -> Reply:
    key = fleet.keys[call.workspace]
    headers = {'authorization': f'Bearer {key}'}
    if call.key:
        headers['idempotency-key'] = call.key
    path, body = _target(call)
    response = await client.post(
        fleet.entries[call.entry].url + path,
        headers=headers,
        data=body,
        timeouts=Timeouts(
            sock_read=_TIMEOUT_SECONDS, request_timeout=_TIMEOUT_SECONDS
        ),
    )
    answer = await response.content()
    request_id = response.headers.get(_ID_HEADER, '')
    return Reply(response.status_code, request_id, answer)


async def drive(
    fleet: Fleet, calls: list[Call], seconds: float, clock: Clock
) -> DemoReport:
    """Send `calls` evenly over `seconds`, never waiting for answers."""
    report = DemoReport()

    async def run(client: aiosonic.HTTPClient, call: Call) -> None:
        tier = report.tier(call.tier)
        tier.sent += 1
        started_ms = clock.now()
        try:
            reply = await _send(client, fleet, call)
            _check(call, reply, report)
        except _FAILURES as error:
            report.wrong.append(f'call {call.number}: {error!r}')
            return
        if reply.status == HTTPStatus.OK:
            took_ms = clock.now() - started_ms
            in_time = took_ms <= call.template.deadline_ms
            tier.in_time += in_time
            tier.late += not in_time

    pause_ms = seconds * MS_PER_SECOND / len(calls)
    async with open_client(len(calls)) as client:
        running = []
        for call in calls:
            running.append(asyncio.create_task(run(client, call)))
            await clock.sleep(pause_ms)
        await asyncio.gather(*running)
    return report
