"""Send the calls of the demo and check each response."""

import asyncio
import json
from dataclasses import dataclass, field

import aiosonic

from seampond.backing.http_client import open_client
from seampond.clock import MS_PER_SECOND, Clock
from seampond.demo.fleet import Fleet
from seampond.demo.traffic import Call
from seampond.testing.caller import (
    CALL_ERRORS,
    Caller,
    Reply,
    check_chat,
)


@dataclass
class TierReport:
    """Outcome counts and prompt tokens of the calls of one tier."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    computed: int = 0
    reused: int = 0


@dataclass
class DemoReport:
    """Reports of all tiers, and the violations found."""

    tiers: dict[int, TierReport] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    not_run: list[str] = field(default_factory=list)

    def tier(self, number: int) -> TierReport:
        """Return the report of one tier."""
        return self.tiers.setdefault(number, TierReport())


def _record_refusal(reply: Reply, tier: TierReport, report: DemoReport) -> None:
    reason = reply.error['reason']
    tier.refused[reason] = tier.refused.get(reason, 0) + 1
    if reply.error['run'] == 'no':
        report.not_run.append(reply.error['request_id'])


def _check_reply(call: Call, reply: Reply, report: DemoReport) -> None:
    tier = report.tier(call.tier)
    if not reply.is_ok:
        _record_refusal(reply, tier, report)
    elif call.chat:
        usage = check_chat(call.chat, reply)
        reused = usage['prompt_tokens_details']['cached_tokens']
        tier.computed += usage['prompt_tokens'] - reused
        tier.reused += reused
    elif json.loads(reply.body)['request_id'] != reply.executed_id:
        raise ValueError("another request's answer")


async def _send(client: aiosonic.HTTPClient, fleet: Fleet, call: Call) -> Reply:
    caller = Caller(
        fleet.entries[call.entry].url, fleet.keys[call.workspace], client
    )
    headers = (
        {'idempotency-key': call.idempotency_key}
        if call.idempotency_key
        else {}
    )
    if call.chat:
        return await caller.chat(call.chat, **headers)
    name = call.template.name
    path = f'/services/{name}/check/{call.number}'
    return await caller.post(path, b'{}', **headers)


async def generate_load(
    fleet: Fleet, calls: list[Call], seconds: float, clock: Clock
) -> DemoReport:
    """Send `calls` evenly over `seconds`, without waiting for responses."""
    report = DemoReport()

    async def run(client: aiosonic.HTTPClient, call: Call) -> None:
        tier = report.tier(call.tier)
        tier.sent += 1
        started_ms = clock.now()
        try:
            reply = await _send(client, fleet, call)
            _check_reply(call, reply, report)
        except CALL_ERRORS as error:
            report.violations.append(f'call {call.number}: {error!r}')
            return
        if reply.is_ok:
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
