"""The HTTP application of the engine stand-in."""

import asyncio
import json
import random
from collections import Counter, deque
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing, asynccontextmanager
from dataclasses import asdict, dataclass, field
from typing import Any

from pydantic import BaseModel, ConfigDict
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from seampond.clock import Clock
from seampond.settings.models import EngineStandInSettings
from seampond.testing.engine.batch import Batch, Sequence

DEFAULT_ANSWER_TOKENS = 32
_STORED_STREAMS_MAX = 256
_STORED_REPORTS_MAX = 4096
_REPORT_INTERVAL_MS = 100
_METHODS = ('GET', 'POST', 'PUT', 'PATCH', 'DELETE')
_ID_HEADER = 'x-request-id'
_FAILING = JSONResponse({'error': 'failing'}, status_code=500)
_EVENTS = 'text/event-stream'


class EngineFaults(BaseModel):
    """Active faults; the counts are numbers of responses to affect."""

    model_config = ConfigDict(extra='forbid')

    slowdown: float = 1
    short: int = 0
    crossed: int = 0
    failing: int = 0


@dataclass
class Engine:
    """The state of the stand-in."""

    settings: EngineStandInSettings
    clock: Clock
    batch: Batch
    faults: EngineFaults = field(default_factory=EngineFaults)
    runs: 'Counter[str]' = field(default_factory=Counter)
    keys: 'Counter[str]' = field(default_factory=Counter)
    streams: dict[str, list[bytes]] = field(default_factory=dict)
    reports: deque[tuple[int, dict[str, int]]] = field(
        default_factory=lambda: deque(maxlen=_STORED_REPORTS_MAX)
    )

    def record_run(self, request: Request) -> str:
        """Count a run by request id and idempotency key; return the id."""
        request_id = request.headers.get(_ID_HEADER, '')
        self.runs[request_id] += 1
        key = request.headers.get('idempotency-key')
        if key:
            self.keys[key] += 1
        return request_id

    def is_failing(self) -> bool:
        """Return True if this request must fail, and count it."""
        is_failing = self.faults.failing > 0
        self.faults.failing -= is_failing
        return is_failing

    def start_recording_stream(self, request_id: str) -> list[bytes]:
        """Start storing the events of a stream, to resume it later."""
        while len(self.streams) >= _STORED_STREAMS_MAX:
            self.streams.pop(next(iter(self.streams)))
        return self.streams.setdefault(request_id, [])


def token_text(request_id: str, number: int) -> str:
    """Return the text of a token, which names its request.

    Examples
    --------
    >>> token_text('abcdef01-rest', 3)
    'abcdef01.3 '

    """
    owner = request_id[:8]
    return f'{owner}.{number} '


def _chunk(sequence: Sequence, text: str, **fields: Any) -> bytes:
    reason = 'stop' if 'usage' in fields else None
    choice = {'index': 0, 'delta': {'content': text}, 'finish_reason': reason}
    content = {
        'id': sequence.request_id,
        'object': 'chat.completion.chunk',
        'created': 0,
        'model': 'stand-in',
        'choices': [choice],
        **fields,
    }
    return f'data: {json.dumps(content)}\n\n'.encode()


def _completion(sequence: Sequence, text: str) -> bytes:
    message = {'role': 'assistant', 'content': text}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    content = {
        'id': sequence.request_id,
        'object': 'chat.completion',
        'created': 0,
        'model': 'stand-in',
        'choices': [choice],
        'usage': sequence.usage,
    }
    return json.dumps(content).encode()


async def _generate_tokens(
    engine: Engine, sequence: Sequence
) -> AsyncGenerator[str, None]:
    """Yield tokens as they are produced; closing cancels the sequence."""
    is_short = engine.faults.short > 0
    engine.faults.short -= is_short
    try:
        for number in range(sequence.output_tokens):
            await sequence.tokens.get()
            yield token_text(sequence.request_id, number)
            if is_short:
                raise ConnectionAbortedError
    finally:
        if sequence.emitted < sequence.output_tokens:
            engine.batch.cancel(sequence)


async def _answer(
    engine: Engine, sequence: Sequence, is_stream: bool
) -> AsyncIterator[bytes]:
    events = engine.start_recording_stream(sequence.request_id)
    texts = []
    async with aclosing(_generate_tokens(engine, sequence)) as tokens:
        async for text in tokens:
            texts.append(text)
            if is_stream:
                events.append(_chunk(sequence, text))
                yield events[-1]
    if not is_stream:
        yield _completion(sequence, ''.join(texts))
        return
    events.append(_chunk(sequence, '', usage=sequence.usage))
    events.append(b'data: [DONE]\n\n')
    for event in events[-2:]:
        yield event


def _make_sequence(request_id: str, content: dict[str, Any]) -> Sequence:
    texts = [str(message.get('content')) for message in content['messages']]
    return Sequence(
        request_id,
        '\n'.join(texts),
        int(content.get('max_tokens', DEFAULT_ANSWER_TOKENS)),
        priority=int(content.get('priority', 0)),
    )


def _model_routes(engine: Engine) -> list[Route]:
    async def chat(request: Request) -> Response:
        content = await request.json()
        request_id = engine.record_run(request)
        if engine.is_failing():
            return _FAILING
        sequence = _make_sequence(request_id, content)
        engine.batch.submit(sequence)
        is_stream = bool(content.get('stream'))
        is_crossed = engine.faults.crossed > 0
        engine.faults.crossed -= is_crossed
        return StreamingResponse(
            _answer(engine, sequence, is_stream),
            media_type=_EVENTS if is_stream else 'application/json',
            headers={_ID_HEADER: 'another' if is_crossed else request_id},
        )

    async def resume(request: Request) -> Response:
        events = engine.streams.get(request.path_params['id'])
        if events is None:
            return JSONResponse({'error': 'no such stream'}, status_code=404)
        start = int(request.query_params.get('after', '0'))
        return Response(b''.join(events[start:]), media_type=_EVENTS)

    async def cache_events(request: Request) -> Response:
        after = int(request.query_params.get('after', '0'))
        visible_until_ms = engine.clock.now() - engine.settings.report_lag_ms
        rng = random.Random(engine.settings.seed)
        events = [
            {'number': number, 'block': block}
            for number, (at_ms, block) in enumerate(engine.batch.cache_events)
            if rng.random() >= engine.settings.event_loss
            and number >= after
            and at_ms <= visible_until_ms
        ]
        return JSONResponse(events)

    return [
        Route('/v1/chat/completions', chat, methods=['POST']),
        Route('/v1/streams/{id}', resume),
        Route('/cache-events', cache_events),
    ]


def _service_routes(engine: Engine) -> list[Route]:
    async def serve(request: Request) -> Response:
        request_id = engine.record_run(request)
        if engine.is_failing():
            return _FAILING
        body = await request.body()
        await engine.clock.sleep(
            engine.settings.service_ms * engine.faults.slowdown
        )
        content = {
            'path': request.url.path,
            'request_id': request_id,
            'received_bytes': len(body),
            'ok': True,
        }
        return JSONResponse(content, headers={_ID_HEADER: request_id})

    return [Route('/{path:path}', serve, methods=_METHODS)]


def _control_routes(engine: Engine) -> list[Route]:
    async def show_runs(_request: Request) -> Response:
        totals = asdict(engine.batch.totals)
        return JSONResponse(
            {'runs': engine.runs, 'keys': engine.keys, 'totals': totals}
        )

    async def show_load(_request: Request) -> Response:
        visible_until_ms = engine.clock.now() - engine.settings.report_lag_ms
        visible = [
            load for at_ms, load in engine.reports if at_ms <= visible_until_ms
        ]
        return JSONResponse(
            visible[-1] if visible else {'running': 0, 'waiting': 0}
        )

    async def set_faults(request: Request) -> Response:
        engine.faults = EngineFaults.model_validate_json(await request.body())
        engine.batch.slowdown = engine.faults.slowdown
        return JSONResponse(engine.faults.model_dump())

    return [
        Route('/control/runs', show_runs),
        Route('/load', show_load),
        Route('/control/faults', set_faults, methods=['PUT']),
    ]


def engine_app(engine: Engine) -> Starlette:
    """Return the web application of the stand-in.

    Explanation
    -----------
    ``GET /control/runs`` returns the number of runs by request id and by
    idempotency key; ``PUT /control/faults`` sets faults; ``GET /load`` and
    ``GET /cache-events`` lag, and the latter also loses events.
    """
    routes = _control_routes(engine)
    if engine.settings.kind == 'model':
        routes += _model_routes(engine)
    else:
        routes += _service_routes(engine)
    return Starlette(routes=routes)


@asynccontextmanager
async def open_engine(
    settings: EngineStandInSettings, clock: Clock
) -> AsyncIterator[Engine]:
    """Run an engine and its batch."""
    engine = Engine(settings, clock, Batch(settings, clock))

    async def record_load() -> None:
        while True:
            engine.reports.append((clock.now(), engine.batch.load))
            await clock.sleep(_REPORT_INTERVAL_MS)

    tasks = [
        asyncio.create_task(engine.batch.run()),
        asyncio.create_task(record_load()),
    ]
    try:
        yield engine
    finally:
        for task in tasks:
            task.cancel()
