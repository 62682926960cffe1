"""Runs: granted requests, their frames kept until received."""

import enum
import hashlib
from dataclasses import dataclass, field

from seampond.claims.answers import KeptAnswer
from seampond.engines.entries import EntryPeer
from seampond.links.messages import Finish, Frame, Grant, Head, Header
from seampond.requests import RunStatus

_DIGEST_BYTES = 16


@enum.unique
class Stage(enum.Enum):
    """How far a run has come."""

    granted = 'granted'
    dispatched = 'dispatched'
    ended = 'ended'


@dataclass(slots=True)
class Usage:
    """Tokens as the engine reported them."""

    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclass(slots=True)
class Run:
    """One granted request, from the grant until its answer was received.

    Parameters
    ----------
    entry : EntryPeer | None
        Where frames go now; None while the link is gone.
    parts : list
        Head and frames so far, for resuming on a new link.
    orphaned_ms : int
        Since when there is no link; None while there is.

    """

    grant: Grant
    owner: str
    deadline_ms: int
    entry: EntryPeer | None
    prompt_tokens: int = 0
    stage: Stage = Stage.granted
    is_cancelled: bool = False
    parts: list[Head | Frame] = field(default_factory=list)
    finish: Finish | None = None
    usage: Usage = field(default_factory=Usage)
    orphaned_ms: int | None = None
    ended_ms: int = 0

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.grant.id

    @property
    def was_not_run(self) -> bool:
        """Whether it ended without having been dispatched."""
        if self.finish is None:
            return False
        return self.finish.run == RunStatus.never.value

    @property
    def is_whole(self) -> bool:
        """Whether it ended with a whole answer."""
        return self.finish is not None and not self.finish.reason

    @property
    def body_digest(self) -> str:
        """Digest of method, path and body, to tell a retry by."""
        grant = self.grant
        head = f'{grant.method} {grant.path}\n'.encode()
        return hashlib.blake2b(
            head + grant.body, digest_size=_DIGEST_BYTES
        ).hexdigest()

    def whole_answer(self, token: str) -> KeptAnswer:
        """Give the answer so that it can be kept."""
        head = self.parts[0]
        assert isinstance(head, Head)
        return KeptAnswer(
            token,
            self.id,
            head.status,
            head.headers,
            b''.join(self.payloads),
        )

    @property
    def payloads(self) -> list[bytes]:
        """The pieces of the body so far."""
        return [part.payload for part in self.parts if isinstance(part, Frame)]

    def add_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Start the answer."""
        self._add(Head(self.id, self.grant.attempt, status, headers))

    def add_payload(self, payload: bytes) -> None:
        """Go on with the answer."""
        number = len(self.parts)
        self._add(Frame(self.id, self.grant.attempt, number, payload))

    def end(self, run: RunStatus, reason: str, now_ms: int) -> None:
        """End the answer; no reason means that it is whole."""
        self.stage = Stage.ended
        self.ended_ms = now_ms
        self.finish = Finish(
            self.id,
            self.grant.attempt,
            count=len(self.parts),
            run=run.value,
            reason=reason,
            prompt_tokens=self.usage.prompt_tokens,
            cached_tokens=self.usage.cached_tokens,
            output_tokens=self.usage.output_tokens,
        )
        if self.entry:
            self.entry.send(self.finish)

    def resume(self, entry: EntryPeer, next_frame: int) -> None:
        """Go on over a new link from frame `next_frame`."""
        self.entry = entry
        self.orphaned_ms = None
        for part in self.parts[next_frame:]:
            entry.send(part)
        if self.finish:
            entry.send(self.finish)

    def _add(self, part: Head | Frame) -> None:
        self.parts.append(part)
        if self.entry:
            self.entry.send(part)
