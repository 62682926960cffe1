"""Requests over HTTP through entry and engine, and invalid requests."""

import asyncio
import json
import unittest
from typing import Any

from seampond.backing.http_client import open_client
from seampond.backing.standin.models import Faults
from seampond.demo.fleet import Fleet
from seampond.metrics.common import counts_by_labels
from seampond.requests.refusals import REFUSAL_DETAILS, Reason
from seampond.testing.caller import (
    CALL_ERRORS,
    Caller,
    ChatRequest,
    Reply,
    check_chat,
)
from seampond.testing.fleets import open_fleet

ANSWER_REQUEST = ChatRequest('trainer-answer', max_tokens=2)
DRAFT_REQUEST = ChatRequest('renewal-draft', max_tokens=2)


class CallerInterfaceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await self.enterAsyncContext(open_fleet())
        self.components = self.fleet.entries[0].components
        self.client = await self.enterAsyncContext(open_client())

    def make_caller(
        self, workspace: str, entry: int = 0, key: str = ''
    ) -> Caller:
        return Caller(
            self.fleet.entries[entry].url,
            key or self.fleet.keys[workspace],
            self.client,
        )

    def count_runs(self) -> int:
        return sum(
            running.engine.runs.total() for running in self.fleet.engines
        )

    def assert_refused(self, reply: Reply, reason: Reason) -> None:
        self.assertEqual(reply.error['reason'], reason.value)
        self.assertEqual(reply.error['run'], 'no')
        self.assertTrue(reply.request_id)
        self.assertEqual(reply.error['request_id'], reply.request_id)
        self.assertEqual(reply.status, REFUSAL_DETAILS[reason].status)
        self.assertEqual(self.count_runs(), 0)
        refusals = self.components.metrics.refusals
        self.assertEqual(counts_by_labels(refusals), {f'{reason.value}/no': 1})

    async def test_streamed_and_complete_answers_arrive(self) -> None:
        for is_stream in (True, False):
            chat = ChatRequest(
                'trainer-answer', max_tokens=3, is_stream=is_stream
            )
            reply = await self.make_caller('trainers').chat(chat)
            self.assertEqual(check_chat(chat, reply)['completion_tokens'], 3)

    async def test_a_service_request_is_forwarded(self) -> None:
        reply = await self.make_caller('turnstiles').post(
            '/services/pass-check/gate%20a/7?side=left', b'{"pass": 1}'
        )
        content = json.loads(reply.body)
        self.assertEqual(content['path'], '/gate a/7')
        self.assertEqual(content['received_bytes'], 11)
        self.assertEqual(content['request_id'], reply.request_id)

    async def test_bad_json_is_refused(self) -> None:
        reply = await self.make_caller('trainers').post(
            '/v1/chat/completions', b'{"model": '
        )
        self.assert_refused(reply, Reason.bad_request)

    async def test_a_missing_field_is_named(self) -> None:
        reply = await self.make_caller('trainers').post(
            '/v1/chat/completions', b'{"model": "trainer-answer"}'
        )
        self.assert_refused(reply, Reason.bad_request)
        self.assertIn('messages', reply.error['message'])

    async def test_an_unknown_template_is_refused(self) -> None:
        reply = await self.make_caller('trainers').chat(ChatRequest('no-such'))
        self.assert_refused(reply, Reason.unknown_template)

    async def test_a_template_of_another_workspace_is_refused(self) -> None:
        reply = await self.make_caller('turnstiles').chat(ANSWER_REQUEST)
        self.assert_refused(reply, Reason.unknown_template)

    async def test_a_wrong_key_is_refused(self) -> None:
        caller = self.make_caller('trainers', key='trainers.wrong')
        self.assert_refused(await caller.chat(ANSWER_REQUEST), Reason.wrong_key)

    async def test_a_body_over_the_limit_is_refused(self) -> None:
        reply = await self.make_caller('trainers').post(
            '/v1/chat/completions', b' ' * 9_000_000
        )
        self.assert_refused(reply, Reason.body_too_large)

    async def test_a_negative_deadline_is_refused(self) -> None:
        caller = self.make_caller('trainers')
        reply = await caller.chat(ANSWER_REQUEST, x_deadline_ms='-5')
        self.assert_refused(reply, Reason.deadline_past)

    async def test_a_deadline_that_is_no_number_is_refused(self) -> None:
        caller = self.make_caller('trainers')
        reply = await caller.chat(ANSWER_REQUEST, x_deadline_ms='soon')
        self.assert_refused(reply, Reason.bad_request)

    async def test_work_that_is_not_idempotent_needs_a_key(self) -> None:
        reply = await self.make_caller('renewals').chat(DRAFT_REQUEST)
        self.assert_refused(reply, Reason.key_required)

    async def test_a_draining_entry_refuses_new_work(self) -> None:
        self.fleet.entries[0].components.is_draining = True
        reply = await self.make_caller('trainers').chat(ANSWER_REQUEST)
        self.assert_refused(reply, Reason.draining)
        self.assertEqual(reply.retry_after, '1')

    async def test_a_key_sent_to_two_entries_runs_once(self) -> None:
        calls = [
            self.make_caller('renewals', entry).chat(
                DRAFT_REQUEST, idempotency_key='k1'
            )
            for entry in (0, 1, 0, 1)
        ]
        replies = await asyncio.gather(*calls)
        answers = {reply.body for reply in replies if reply.is_ok}
        # A retry after completion receives the stored answer.
        self.assertEqual(len(answers), 1)
        for reply in replies:
            if not reply.is_ok:
                self.assertEqual(reply.error['reason'], 'claim-taken')
                self.assertEqual(reply.error['run'], 'maybe')
        self.assertEqual(self.count_runs(), 1)

    async def test_a_claim_with_a_lost_reply_runs_once(self) -> None:
        self.fleet.platform.platform.faults = Faults(lose_answers=1)
        reply = await self.make_caller('renewals').chat(
            DRAFT_REQUEST, idempotency_key='k'
        )
        check_chat(DRAFT_REQUEST, reply)
        self.assertEqual(self.count_runs(), 1)

    async def test_an_unavailable_claim_store_refuses_work(self) -> None:
        self.fleet.platform.platform.faults = Faults(down=True)
        reply = await self.make_caller('renewals').chat(
            DRAFT_REQUEST, idempotency_key='k', x_deadline_ms='1700'
        )
        self.assert_refused(reply, Reason.claim_store_down)

    async def test_a_truncated_engine_answer_breaks_the_connection(
        self,
    ) -> None:
        for running in self.fleet.engines:
            running.engine.faults.short = 1
        chat = ChatRequest('trainer-answer', max_tokens=5)
        # The aborted connection is an error in any client.
        with self.assertRaises(CALL_ERRORS):
            await self.make_caller('trainers').chat(chat)

    async def test_an_answer_to_another_request_is_refused(self) -> None:
        for running in self.fleet.engines:
            running.engine.faults.crossed = 1
        reply = await self.make_caller('trainers').chat(ANSWER_REQUEST)
        self.assertEqual(reply.error['reason'], 'wrong-answer')
        self.assertEqual(reply.error['run'], 'maybe')

    async def test_a_failing_engine_is_reported_as_engine_failed(self) -> None:
        for running in self.fleet.engines:
            running.engine.faults.failing = 1
        reply = await self.make_caller('trainers').chat(ANSWER_REQUEST)
        self.assertEqual(reply.error['reason'], 'engine-failed')
        self.assertEqual(reply.error['run'], 'maybe')

    async def test_an_error_of_a_service_is_forwarded(self) -> None:
        for running in self.fleet.engines:
            running.engine.faults.failing = 1
        caller = self.make_caller('turnstiles')
        reply = await caller.post('/services/pass-check/gate/7', b'')
        self.assertEqual(reply.status, 500)
        self.assertEqual(json.loads(reply.body)['error'], 'failing')
        outcomes = counts_by_labels(self.components.metrics.requests)
        self.assertEqual(outcomes, {'1/failed': 1})

    async def test_a_disconnect_of_the_caller_cancels_the_run(self) -> None:
        chat = ChatRequest('trainer-answer', max_tokens=2000)
        host, _, port = self.components.settings.listen.rpartition(':')
        _, writer = await asyncio.open_connection(host, int(port))
        key = self.fleet.keys['trainers']
        head = (
            'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n'
            f'authorization: Bearer {key}\r\n'
            f'content-length: {len(chat.body)}\r\n\r\n'
        )
        writer.write(head.encode() + chat.body)
        batches = [running.engine.batch for running in self.fleet.engines]
        while not any(batch.load['running'] for batch in batches):
            await asyncio.sleep(0.01)
        writer.transport.abort()
        while any(batch.load['running'] for batch in batches):
            await asyncio.sleep(0.01)
        cancelled = sum(batch.totals.cancelled for batch in batches)
        self.assertEqual(cancelled, 1)
        while self.components.dispatcher.open_tickets:
            await asyncio.sleep(0.01)

    async def test_operator_pages_are_served(self) -> None:
        url = self.fleet.entries[0].url
        for path, expected in (
            ('/healthz', 'ok'),
            ('/readyz', 'ready'),
            ('/metrics', 'seampond_generation'),
            ('/status', 'promises_broken'),
        ):
            response = await self.client.get(f'{url}{path}')
            text: Any = await response.text()
            self.assertIn(expected, text)
