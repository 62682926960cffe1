"""Continuous batching with prefill and decode phases."""

import asyncio
import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from seampond.clock import MS_PER_SECOND, Clock
from seampond.settings.models import EngineStandInSettings

STEP_MS = 10
CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
_BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


@dataclass(eq=False)
class Sequence:
    """A request in the engine."""

    request_id: str
    prompt: str
    output_tokens: int
    priority: int = 0
    cached_tokens: int = 0
    computed_tokens: float = 0
    produced: float = 0
    emitted: int = 0
    is_cancelled: bool = False
    tokens: 'asyncio.Queue[int]' = field(default_factory=asyncio.Queue)

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN + 1

    @property
    def usage(self) -> dict[str, Any]:
        """The usage object of a response."""
        return {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.emitted,
            'total_tokens': self.prompt_tokens + self.emitted,
            'prompt_tokens_details': {'cached_tokens': self.cached_tokens},
        }

    @property
    def prefill_left(self) -> float:
        """Prompt tokens not computed yet."""
        return self.prompt_tokens - self.cached_tokens - self.computed_tokens


class PrefixCache:
    """LRU cache of prompt blocks, keyed by the hash of their prefix."""

    def __init__(self, size_tokens: int) -> None:
        """Create an empty cache."""
        self._size = size_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[bytes, None] = OrderedDict()

    def find(self, prompt: str) -> int:
        """Return the number of cached tokens at the prompt's start."""
        cached_tokens = 0
        for block in self._hashes(prompt):
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            cached_tokens += BLOCK_TOKENS
        return cached_tokens

    def store(self, prompt: str) -> list[str]:
        """Store the prompt's blocks; return those that are new."""
        added = []
        for block in self._hashes(prompt):
            if block not in self._blocks:
                added.append(block.hex())
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._size:
            self._blocks.popitem(last=False)
        return added

    def _hashes(self, prompt: str) -> list[bytes]:
        digest = hashlib.blake2b(digest_size=16)
        hashes = []
        end = len(prompt) - len(prompt) % _BLOCK_CHARACTERS
        for start in range(0, end, _BLOCK_CHARACTERS):
            digest.update(prompt[start : start + _BLOCK_CHARACTERS].encode())
            hashes.append(digest.digest())
        return hashes


@dataclass
class Totals:
    """Counts of tokens and sequences of the engine."""

    computed: float = 0
    reused: int = 0
    wasted: float = 0
    finished: int = 0
    cancelled: int = 0


class Batch:
    """Runs sequences in time steps.

    Explanation
    -----------
    Each step spends the prefill rate on the prompts in order of priority
    and adds tokens to each decoding sequence; `slowdown` divides both rates.
    """

    def __init__(self, settings: EngineStandInSettings, clock: Clock) -> None:
        """Create an empty batch."""
        self._settings = settings
        self._clock = clock
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._wake = asyncio.Event()
        self.cache = PrefixCache(settings.cache_tokens)
        self.totals = Totals()
        self.cache_events: list[tuple[int, str]] = []
        self.slowdown = 1.0

    @property
    def load(self) -> dict[str, int]:
        """Numbers of running and waiting sequences."""
        return {'running': len(self._running), 'waiting': len(self._waiting)}

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda queued: queued.priority)
        self._wake.set()

    def cancel(self, sequence: Sequence) -> None:
        """Cancel a sequence; its prefill counts as wasted."""
        if sequence.is_cancelled:
            return
        sequence.is_cancelled = True
        for sequences in (self._waiting, self._running):
            if sequence in sequences:
                sequences.remove(sequence)
        self.totals.cancelled += 1
        self.totals.wasted += sequence.computed_tokens

    async def run(self) -> None:
        """Run steps until cancelled."""
        last_ms = self._clock.now()
        while True:
            if not (self._waiting or self._running):
                self._wake.clear()
                await self._wake.wait()
                last_ms = self._clock.now()
            await self._clock.sleep(STEP_MS)
            now_ms = self._clock.now()
            self.step(now_ms - last_ms)
            last_ms = now_ms

    def step(self, elapsed_ms: float) -> None:
        """Advance all sequences by `elapsed_ms`."""
        seconds = elapsed_ms / MS_PER_SECOND / self.slowdown
        while self._waiting and len(self._running) < self._settings.batch_max:
            self._start(self._waiting.pop(0))
        budget = self._settings.prefill_tokens_per_s * seconds
        produced = self._settings.decode_tokens_per_s * seconds
        for sequence in list(self._running):
            if sequence.prefill_left > 0:
                budget -= self._prefill(sequence, budget)
            else:
                self._decode(sequence, produced)

    def _start(self, sequence: Sequence) -> None:
        cached_tokens = self.cache.find(sequence.prompt)
        sequence.cached_tokens = min(cached_tokens, sequence.prompt_tokens - 1)
        self.totals.reused += sequence.cached_tokens
        self._running.append(sequence)

    def _prefill(self, sequence: Sequence, budget: float) -> float:
        spent = max(0, min(budget, sequence.prefill_left))
        sequence.computed_tokens += spent
        self.totals.computed += spent
        if sequence.prefill_left <= 0:
            added = self.cache.store(sequence.prompt)
            now_ms = self._clock.now()
            self.cache_events.extend((now_ms, block) for block in added)
        return spent

    def _decode(self, sequence: Sequence, produced: float) -> None:
        sequence.produced += produced
        ready = min(int(sequence.produced), sequence.output_tokens)
        while sequence.emitted < ready:
            sequence.tokens.put_nowait(sequence.emitted)
            sequence.emitted += 1
        if sequence.emitted >= sequence.output_tokens:
            self._running.remove(sequence)
            self.totals.finished += 1
