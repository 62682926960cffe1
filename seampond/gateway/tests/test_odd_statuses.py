"""Servers that answer with a status or version that HTTP/1 does not have."""

import asyncio

import aiosonic

from seampond.gateway.tests.test_gateway import GatewayCase
from seampond.platform.tests.rows import (
    ID_HEADER,
    ONCE,
    STAMP_HEADER,
    ConfigurationRow,
    put_configuration,
    put_server,
)
from seampond.testing.gateways import wait_until
from seampond.testing.scripted import (
    ReceivedRequest,
    format_response,
    run_scripted,
)

_STATUSES = ('000', '001', '099', '600', '999')
_VERSIONS = ('0.9', '2.0')
# Enough for both servers.
_REQUESTS = 6


class OddStatusTest(GatewayCase):
    """One sound server, and one in trouble."""

    async def asyncSetUp(self) -> None:
        """Start the server in trouble."""
        await super().asyncSetUp()
        self._status = '200'
        self._version = '1.1'
        self._odd_ids: list[str] = []
        self._odd = await self.stack.enter_async_context(
            run_scripted(self._answer_oddly)
        )

    async def test_requests_go_to_the_sound_server(self) -> None:
        """They may run twice, and their callers get whole answers."""
        put_server(self.store, 'odd', self._odd.address)
        for status in _STATUSES:
            self._status = status
            await self._check_sound(status)

    async def test_answers_of_another_version_are_passed_on(self) -> None:
        """The parser reads them as if they were of HTTP/1.1."""
        put_server(self.store, 'odd', self._odd.address)
        for version in _VERSIONS:
            self._version = version
            await self._check_sound(version)

    async def test_request_that_may_not_run_twice_fails(self) -> None:
        """The status is not passed on, and says nothing of the run."""
        for status in _STATUSES:
            self._status = status
            answer = await self._ask_odd_server(status)
            self.assertEqual(answer.status_code, 502, status)
            self.assertNotIn(STAMP_HEADER, answer.headers)

    async def _check_sound(self, name: str) -> None:
        """Check that the answers of the odd server are not passed on."""
        self._odd_ids.clear()
        gateway = await self.start_ready()
        answers = await asyncio.gather(
            *(
                self.ask(gateway, request_id=f'{name}-{number}')
                for number in range(_REQUESTS)
            )
        )
        statuses = {answer.status_code for answer in answers}
        self.assertEqual(statuses, {200}, name)
        bodies = {await answer.content() for answer in answers}
        self.assertEqual(bodies, {b'whole'}, name)
        self.assertTrue(self._odd_ids, 'the odd server got no request')

    async def _ask_odd_server(self, request_id: str) -> aiosonic.HttpResponse:
        """Send a request that may run once to a gateway that knows no other."""
        gateway = await self.start_ready()
        put_configuration(self.store, ConfigurationRow(version=2, kind=ONCE))
        put_server(self.store, 'i-1', self._odd.address)
        components = gateway.components
        await wait_until(
            lambda: (
                components.web.admission.version == 2
                and [backend.server.address for backend in components.backends]
                == [self._odd.address]
            )
        )
        return await self.ask(gateway, request_id=request_id)

    async def _answer_oddly(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.get(ID_HEADER)
        self._odd_ids.append(request_id)
        headers = {ID_HEADER: request_id, STAMP_HEADER: 'odd'}
        answer = format_response(200, headers, b'odd')
        start = f'HTTP/{self._version} {self._status} '.encode()
        writer.write(answer.replace(b'HTTP/1.1 200 ', start, 1))
