"""Guard against queued calls and late responses in the HTTP client."""

import asyncio
import unittest

from aiosonic.exceptions import BaseTimeout
from aiosonic.timeout import Timeouts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from seampond.backing.http_client import open_client
from seampond.web import serve_http

CALLS = 64


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_allowed_calls_run_concurrently(self) -> None:
        arrived = asyncio.Semaphore(0)
        all_arrived = asyncio.Event()

        async def wait_for_all(_request: Request) -> Response:
            arrived.release()
            await all_arrived.wait()
            return PlainTextResponse('ok')

        app = Starlette(routes=[Route('/', wait_for_all)])
        async with serve_http(app, '127.0.0.1:0') as web:
            async with open_client(CALLS) as client:
                calls = [
                    asyncio.create_task(client.get(f'http://{web.address}/'))
                    for _ in range(CALLS)
                ]
                for _ in calls:
                    await asyncio.wait_for(arrived.acquire(), 5)
                all_arrived.set()
                answers = await asyncio.gather(*calls)
        self.assertEqual({answer.status_code for answer in answers}, {200})

    async def test_late_response_is_not_returned_to_next_call(self) -> None:
        delays_s = iter((0, 0.4, 0.3))

        async def answer(request: Request) -> Response:
            await asyncio.sleep(next(delays_s))
            return PlainTextResponse(request.url.path)

        app = Starlette(routes=[Route('/{name}', answer)])
        async with serve_http(app, '127.0.0.1:0') as web:
            async with open_client(1) as client:
                url = f'http://{web.address}'
                first = await client.get(f'{url}/first')
                await first.content()
                with self.assertRaises(BaseTimeout):
                    await client.get(
                        f'{url}/late', timeouts=Timeouts(request_timeout=0.2)
                    )
                after = await client.get(f'{url}/next')
                self.assertEqual(await after.text(), '/next')
