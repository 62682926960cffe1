"""Tests of whole gateways with a stand-in store and scripted servers."""

import asyncio
import json
import math
import unittest
from contextlib import AsyncExitStack
from itertools import islice
from typing import Any

import aiosonic
import msgspec

from seampond.backing.http_client import make_client
from seampond.clock import Clock
from seampond.demo.fleet import free_ports
from seampond.forwarding.admission import Admission
from seampond.gateway.daemon import RunningGateway, run_gateway
from seampond.platform.names import CONFIGURATION_TABLE
from seampond.platform.tests.rows import (
    HOST,
    ID_HEADER,
    KEY,
    STAMP_HEADER,
    TENANT,
    TENANT_HEADER,
    ConfigurationRow,
    drop_server,
    is_gateway_removed,
    put_configuration,
    put_gateway,
    put_server,
    read_configuration_version,
)
from seampond.settings.gateway import (
    BoundSettings,
    GatewaySettings,
    StoreSettings,
)
from seampond.sharing import Heartbeat, hash_name
from seampond.testing.gateways import wait_until
from seampond.testing.scripted import (
    ReceivedRequest,
    ScriptedServer,
    format_response,
    run_scripted,
)
from seampond.testing.store import StandInStore, run_store
from seampond.watches import FreshnessProof

# Offset of the stand-in's steady clock from the gateway's.
_STORE_AHEAD_MS = 1_000_000
_PORTS = 4


def build_settings(store_address: str, **changes: Any) -> GatewaySettings:
    """Return settings with free ports and a short planned stop."""
    # Not of the range from which callers' connections take theirs meanwhile.
    ports = [f'127.0.0.1:{port}' for port in islice(free_ports(), _PORTS)]
    content: dict[str, Any] = {
        'name': 'g1',
        'zone': 'a',
        'listen': ports[0],
        'ready_listen': ports[1],
        'metrics_listen': ports[2],
        'peer_listen': ports[3],
        'store': StoreSettings(address=store_address),
        'linger_ms': 100,
    }
    return GatewaySettings(**(content | changes))


async def _serve(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    headers = {
        ID_HEADER: request.get(ID_HEADER),
        STAMP_HEADER: 's',
        'X-Own': 'kept',
    }
    writer.write(format_response(200, headers, b'whole'))


def _age_ms(admission: Admission) -> float:
    age_ms = admission.proof_age_ms
    return math.inf if age_ms is None else age_ms


class GatewayCase(unittest.IsolatedAsyncioTestCase):
    """Base that opens a store, a server and a gateway."""

    async def asyncSetUp(self) -> None:
        """Open the store and the server."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        self.store: StandInStore = await self.stack.enter_async_context(
            run_store()
        )
        self.server: ScriptedServer = await self.stack.enter_async_context(
            run_scripted(lambda *call: self.serve(*call))
        )
        self.client: aiosonic.HTTPClient = make_client(20)

    async def serve(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Answer as a server."""
        await _serve(request, writer)

    def list_server(self, server_id: str = 'i-1', **changes: Any) -> None:
        """Write the server's row."""
        put_server(self.store, server_id, self.server.address, **changes)

    async def start(self, **changes: Any) -> RunningGateway:
        """Start the gateway."""
        settings = build_settings(self.store.address, **changes)
        return await self.stack.enter_async_context(
            run_gateway(settings, Clock())
        )

    async def start_ready(self, **changes: Any) -> RunningGateway:
        """Start the gateway with a configuration and a server."""
        put_configuration(self.store)
        self.list_server()
        gateway = await self.start(**changes)
        await wait_until(
            lambda: (
                gateway.components.is_ready
                and gateway.components.web.admission.is_proved
            )
        )
        return gateway

    async def ask(
        self,
        gateway: RunningGateway,
        path: str = '/x/y',
        key: str = KEY,
        request_id: str = 'r1',
    ) -> aiosonic.HttpResponse:
        """Send a request as a caller."""
        headers = {'Host': HOST, ID_HEADER: request_id}
        if key:
            headers['Authorization'] = f'Token {key}'
        address = gateway.components.settings.listen
        return await self.client.request(
            f'http://{address}{path}',
            method='POST',
            headers=headers,
            data=b'ask',
        )

    async def send_chunked(self, target: str, chunks: bytes) -> ReceivedRequest:
        """Send a body in chunks; return the request that the server got."""
        gateway = await self.start_ready()
        host, _, port = gateway.components.settings.listen.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        lines = (
            f'POST {target} HTTP/1.1',
            f'Host: {HOST}:81',
            f'{ID_HEADER}: r1',
            f'Authorization: token {KEY}',
            'Transfer-Encoding: chunked',
        )
        head = '\r\n'.join(lines)
        writer.write(f'{head}\r\n\r\n'.encode())
        writer.write(chunks)
        answer = await reader.readuntil(b'whole')
        self.assertTrue(answer.startswith(b'HTTP/1.1 200 '))
        return self.server.received[0]


class GatewayTest(GatewayCase):
    """Requests from end to end."""

    async def test_request_and_answer_pass_unchanged(self) -> None:
        """The server's status, stamp, headers and body."""
        gateway = await self.start_ready()
        response = await self.ask(gateway, '/x/y%20z?a=1&b=')
        self.assertEqual(response.status_code, 200)
        self.assertEqual(await response.content(), b'whole')
        self.assertEqual(response.headers[STAMP_HEADER], 's')
        self.assertEqual(response.headers['x-own'], 'kept')
        sent = self.server.received[0]
        self.assertEqual(sent.target, b'/x/y%20z?a=1&b=')
        self.assertEqual(sent.body, b'ask')
        self.assertEqual(sent.get(TENANT_HEADER), TENANT)
        self.assertEqual(sent.get('authorization'), '')

    async def test_chunked_body_is_forwarded_whole(self) -> None:
        """It is sent with its length."""
        chunks = b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
        sent = await self.send_chunked('/x//~a/%2f?q=&r', chunks)
        self.assertEqual(sent.target, b'/x//~a/%2f?q=&r')
        self.assertEqual(sent.body, b'abcde')

    async def test_trailers_are_not_forwarded(self) -> None:
        """Fields after a chunked body must not become headers."""
        chunks = b'3\r\nabc\r\n0\r\nX-Late: 1\r\n\r\n'
        sent = await self.send_chunked('/x/y', chunks)
        self.assertEqual(sent.body, b'abc')
        self.assertEqual(sent.get('x-late'), '')

    async def test_answer_to_head_has_no_body(self) -> None:
        """Its length is that of the answer to GET; no body is awaited."""

        async def answer_head(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            headers = {ID_HEADER: request.get(ID_HEADER), STAMP_HEADER: 's'}
            writer.write(format_response(200, headers, length=1234))

        self.serve = answer_head  # type: ignore[method-assign]
        gateway = await self.start_ready()
        response = await self.client.request(
            f'http://{gateway.components.settings.listen}/x/y',
            method='HEAD',
            headers={
                'Host': HOST,
                ID_HEADER: 'r1',
                'Authorization': f'Token {KEY}',
            },
        )
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.headers['content-length'], '1234')

    async def test_late_answer_is_taken_for_that_of_a_second_attempt(
        self,
    ) -> None:
        """Both have the same id; other requests use the kept connection."""
        callers: list[tuple[str, int]] = []

        async def answer_late(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            request_id = request.get(ID_HEADER)
            headers = {ID_HEADER: request_id, STAMP_HEADER: 's'}
            caller = writer.get_extra_info('peername')
            if caller in callers and request_id == 'r1':
                writer.write(format_response(200, headers, b'late'))
            callers.append(caller)
            writer.write(format_response(200, headers, b'whole'))

        self.serve = answer_late  # type: ignore[method-assign]
        gateway = await self.start_ready()
        for request_id in ('r1', 'r1', 'r2'):
            response = await self.ask(gateway, request_id=request_id)
            self.assertEqual(await response.content(), b'whole')
        self.assertEqual(len(set(callers)), 2)

    async def test_traffic_is_split_by_weight(self) -> None:
        """A service of weight 0 gets nothing."""
        row = ConfigurationRow(weights=(('s1', 1), ('s2', 0)))
        put_configuration(self.store, row)
        self.list_server()
        gateway = await self.start()
        await wait_until(lambda: gateway.components.is_ready)
        await wait_until(lambda: gateway.components.web.admission.is_proved)
        for _ in range(8):
            self.assertEqual((await self.ask(gateway)).status_code, 200)

    async def test_gateways_find_each_other(self) -> None:
        """By their rows, then by their heartbeats."""
        first = await self.start_ready()
        second = await self.start(name='g2')
        peers = [gateway.components.peers for gateway in (first, second)]
        await wait_until(
            lambda: all(peer_list.all_reachable for peer_list in peers)
        )
        self.assertEqual([peer_list.count for peer_list in peers], [2, 2])

    async def test_stopped_gateway_is_removed_at_once(self) -> None:
        """By its last heartbeat and the removal of its row."""
        first = await self.start_ready()
        peers = first.components.peers
        settings = build_settings(self.store.address, name='g2')
        async with run_gateway(settings, Clock()) as second:
            await wait_until(lambda: peers.count == 2 and peers.all_reachable)
            second_peers = second.components.peers
            await wait_until(lambda: second_peers.registration_version)
        await wait_until(lambda: peers.count == 1 and peers.all_reachable)
        self.assertTrue(is_gateway_removed(self.store, 'g2'))

    async def test_refused_requests_reach_no_server(self) -> None:
        """No route, no key, and an invalid key."""
        gateway = await self.start_ready()
        for path, key, status in (
            ('/y/', KEY, 404),
            ('/x/', '', 401),
            ('/x/', 'k2', 401),
        ):
            with self.subTest(path=path, key=key):
                response = await self.ask(gateway, path, key)
                self.assertEqual(response.status_code, status)
        self.assertEqual(self.server.received, [])

    async def test_callers_retry_without_a_configuration(self) -> None:
        """They get 503 with a retry time; the gateway is not ready."""
        gateway = await self.start()
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, 503)
        self.assertGreater(float(response.headers['retry-after']), 0)
        self.assertFalse(gateway.components.is_ready)

    async def test_new_configuration_is_in_force(self) -> None:
        """A revoked key gets 401; an older version is ignored."""
        gateway = await self.start_ready()
        row = ConfigurationRow(version=3, keys=('k2',))
        put_configuration(self.store, row)
        await wait_until(lambda: gateway.components.web.admission.version == 3)
        self.assertEqual((await self.ask(gateway)).status_code, 401)
        put_configuration(self.store, ConfigurationRow(version=2))
        await asyncio.sleep(0.1)
        self.assertEqual(gateway.components.web.admission.version, 3)
        self.assertEqual((await self.ask(gateway)).status_code, 401)

    async def test_no_key_is_accepted_without_proof(self) -> None:
        """A gateway cut off from the store stops serving in time."""
        bounds = BoundSettings(revoke_ms=900, proof_margin_ms=100)
        store = StoreSettings(address=self.store.address, wait_ms=200)
        gateway = await self.start_ready(bounds=bounds, store=store)
        admission = gateway.components.web.admission
        await wait_until(lambda: _age_ms(admission) < 400)
        self.assertEqual((await self.ask(gateway)).status_code, 200)
        self.store.is_down = True
        await wait_until(lambda: _age_ms(admission) > 800)
        self.assertEqual((await self.ask(gateway)).status_code, 503)
        self.store.is_down = False
        await wait_until(lambda: _age_ms(admission) < 800)
        self.assertEqual((await self.ask(gateway)).status_code, 200)

    async def test_proof_of_another_gateway_is_accepted(self) -> None:
        """Only if this gateway has all changes that the proof covers."""
        gateway = await self.start_ready()
        put_gateway(self.store, 'g2')
        components, clock = gateway.components, self.store.clock
        await wait_until(lambda: components.peers.count == 2)
        self.store.is_down = True
        admission = components.web.admission
        changed = read_configuration_version(self.store)
        for sequence, newer in ((1, 0), (2, 100)):
            await clock.sleep(300)
            before_ms = _age_ms(admission)
            proof = FreshnessProof(
                changed + newer, clock.now() + _STORE_AHEAD_MS
            )
            heartbeat = Heartbeat(
                'g2',
                1,
                sequence,
                proofs={
                    hash_name(CONFIGURATION_TABLE): proof,
                    hash_name('other'): proof,
                },
            )
            self.assertTrue(components.peers.apply_heartbeat(heartbeat))
            components.handle_heartbeat(heartbeat)
            is_younger = _age_ms(admission) < before_ms - 100
            self.assertEqual(is_younger, not newer)

    async def test_draining_and_removed_servers_get_nothing(self) -> None:
        """The list takes effect at once."""
        gateway = await self.start_ready()
        backends = gateway.components.backends
        self.list_server(state='draining')
        await wait_until(
            lambda: not any(backend.takes_work for backend in backends)
        )
        response = await self.ask(gateway)
        self.assertEqual(response.status_code, 503)
        self.list_server('i-2')
        await wait_until(
            lambda: any(backend.takes_work for backend in backends)
        )
        self.assertEqual((await self.ask(gateway)).status_code, 200)
        drop_server(self.store, 'i-2')
        await wait_until(
            lambda: not any(backend.takes_work for backend in backends)
        )
        self.assertEqual(len(self.server.received), 1)

    async def test_planned_stop_finishes_open_requests(self) -> None:
        """Not ready at once; connections are closed after the answers."""
        release = asyncio.Event()

        async def wait_then_serve(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await release.wait()
            await _serve(request, writer)

        self.serve = wait_then_serve  # type: ignore[method-assign]
        gateway = await self.start_ready()
        asked = asyncio.create_task(self.ask(gateway))
        await wait_until(lambda: len(self.server.received) == 1)
        stopped = asyncio.create_task(gateway.drain())
        await wait_until(lambda: not gateway.components.is_ready)
        release.set()
        response = await asked
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.headers['connection'], 'close')
        await stopped

    async def test_reload_applies_bounds(self) -> None:
        """The changed keys are logged; requests go on."""
        gateway = await self.start_ready()
        before = gateway.components.settings
        bounds = msgspec.structs.replace(before.bounds, revoke_ms=3000)
        after = msgspec.structs.replace(before, bounds=bounds)
        with self.assertLogs('seampond.gateway.daemon') as logs:
            gateway.reload(after)
        changed = getattr(logs.records[0], 'changed', None)
        self.assertEqual(changed, ['bounds.revoke_ms'])
        self.assertEqual(
            gateway.components.web.admission.max_proof_age_ms, 2600
        )
        self.assertEqual((await self.ask(gateway)).status_code, 200)

    async def test_pages_for_load_balancer_and_operators(self) -> None:
        """Readiness, status and metrics on their own addresses."""
        gateway = await self.start_ready()
        settings = gateway.components.settings
        for address, path in (
            (settings.ready_listen, '/ready'),
            (settings.metrics_listen, '/metrics'),
            (settings.metrics_listen, '/status'),
        ):
            response = await self.client.get(f'http://{address}{path}')
            self.assertEqual(response.status_code, 200, path)
        status = json.loads(await response.content())
        self.assertEqual(status['version'], 1)
