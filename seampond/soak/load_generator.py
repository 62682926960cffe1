"""Callers of a soak test, with retries under one idempotency key."""

import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field

import aiosonic

from seampond.clock import Clock
from seampond.demo.fleet import Fleet
from seampond.demo.traffic import Call, make_calls
from seampond.testing.caller import (
    CALL_ERRORS,
    Caller,
    Reply,
    WrongAnswerError,
    check_chat,
)

_MAX_ATTEMPTS = 3
_MAX_PAUSE_MS = 40
_MAX_CONCURRENT = 120


@dataclass
class SoakReport:
    """Counts and violations recorded by the callers."""

    sent: int = 0
    outcomes: 'Counter[str]' = field(default_factory=Counter)
    faults: dict[str, int] = field(default_factory=dict)
    not_run: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class LoadGenerator:
    """Sends calls to a fleet and records their outcomes."""

    fleet: Fleet
    client: aiosonic.HTTPClient
    rng: random.Random
    clock: Clock
    report: SoakReport

    async def send_with_retries(self, call: Call) -> None:
        """Send one call; retry it if it has an idempotency key."""
        for attempt in range(_MAX_ATTEMPTS):
            entry = (call.entry + attempt) % len(self.fleet.entries)
            is_over = await self._attempt(call, entry)
            if is_over or not call.idempotency_key:
                return
            await self.clock.sleep(self.rng.uniform(0, 500))

    async def _attempt(self, call: Call, entry: int) -> bool:
        self.report.sent += 1
        try:
            reply = await self._send(call, entry)
        except CALL_ERRORS:
            self.report.outcomes['broken'] += 1
            return False
        self._record_reply(call, reply)
        return reply.is_ok

    async def _send(self, call: Call, entry: int) -> Reply:
        key = self.fleet.keys[call.workspace]
        caller = Caller(self.fleet.entries[entry].url, key, self.client)
        headers = (
            {'idempotency-key': call.idempotency_key}
            if call.idempotency_key
            else {}
        )
        if call.chat:
            return await caller.chat(call.chat, **headers)
        path = f'/services/{call.template.name}/{call.number}'
        return await caller.post(path, b'{}', **headers)

    def _record_reply(self, call: Call, reply: Reply) -> None:
        if reply.status == 500:
            self.report.outcomes['engine 500'] += 1
        elif reply.is_ok:
            self._check_reply(call, reply)
        else:
            error = reply.error
            self.report.outcomes['{reason}/{run}'.format(**error)] += 1
            if error['run'] == 'no':
                self.report.not_run.append(error['request_id'])

    def _check_reply(self, call: Call, reply: Reply) -> None:
        self.report.outcomes['whole'] += 1
        try:
            if call.chat:
                check_chat(call.chat, reply)
            elif json.loads(reply.body)['request_id'] != reply.executed_id:
                raise WrongAnswerError("another request's answer")
        except WrongAnswerError as error:
            self.report.violations.append(f'call {call.number}: {error}')


async def generate_load(generator: LoadGenerator, until_ms: int) -> None:
    """Send calls in open loop, with bounded concurrency, until `until_ms`."""
    running: set[asyncio.Task[None]] = set()
    calls = make_calls(
        generator.fleet, 1_000_000, generator.rng.randrange(2**30)
    )
    while generator.clock.now() < until_ms:
        if len(running) < _MAX_CONCURRENT:
            task = asyncio.create_task(generator.send_with_retries(next(calls)))
            running.add(task)
            task.add_done_callback(running.discard)
        await generator.clock.sleep(generator.rng.uniform(0, _MAX_PAUSE_MS))
    await asyncio.gather(*running)
