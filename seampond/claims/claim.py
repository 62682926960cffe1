"""Claims: rows inserted before a run, each with a unique token."""

import secrets
from dataclasses import dataclass
from typing import Any

from seampond.backing.tables import Check, Row, Tables, Write
from seampond.clock import Clock
from seampond.errors import (
    ConflictError,
    PlatformError,
    SeampondError,
)

TABLE = 'claims'
RUNNING = 'running'
DONE = 'done'
_TOKEN_BYTES = 16
_RETRY_MS = 100


@dataclass(frozen=True, slots=True)
class Claim:
    """Right to run one request, as written to the table.

    Parameters
    ----------
    key : str
        Key of the request in the table.
    token : str
        Unique token of this claim.
    digest : str
        Digest of the request's body.

    """

    key: str
    token: str
    digest: str = ''


class ClaimRefusedError(SeampondError):
    """The claim was not obtained; the request is not run.

    Parameters
    ----------
    is_taken : bool
        Whether another run holds the claim; otherwise the store did not
        answer in time.
    held : Row | None
        Row of the run that holds the claim.

    """

    def __init__(
        self,
        message: str,
        *,
        is_taken: bool,
        key: str,
        held: Row | None = None,
    ) -> None:
        """Set the reason and the row that holds the claim."""
        super().__init__(message, step='claim', peer=key)
        self.is_taken = is_taken
        self.held = held

    def is_done_for(self, digest: str) -> bool:
        """Return True if the same request has been completed."""
        if self.held is None:
            return False
        row = self.held.content
        return bool(row['state'] == DONE and row['digest'] == digest)


class Claims:
    """Claims of one agent, and the tokens it has abandoned.

    Explanation
    -----------
    A write whose answer is lost may still take effect later.  So the same
    token is written again until an answer comes.  If none comes in time, the
    token is abandoned: the agent never runs on it, but may take over its row
    for a later attempt.

    Parameters
    ----------
    owner : str
        Name and incarnation of the agent.

    """

    def __init__(self, tables: Tables, clock: Clock, owner: str) -> None:
        """Start without abandoned tokens."""
        self._tables = tables
        self._clock = clock
        self._owner = owner
        self._abandoned: set[str] = set()

    async def make(
        self, key: str, request_id: str, until_ms: int, digest: str = ''
    ) -> Claim:
        """Insert the claim's row for `key`.

        Parameters
        ----------
        key : str
            Key of the request.
        request_id : str
            Stored in the row for operators.
        until_ms : int
            Clock time at which to give up.
        digest : str
            Digest of the request's body, which a retry must match.

        Raises
        ------
        ClaimRefusedError
            If the claim was not obtained.

        """
        claim = Claim(key, secrets.token_hex(_TOKEN_BYTES), digest)
        try:
            await self._insert(claim, request_id, until_ms)
        except BaseException:
            # On cancellation too, since the request will not run.
            self.abandon(claim)
            raise
        return claim

    def abandon(self, claim: Claim) -> None:
        """Abandon a claim on which this agent will never run."""
        self._abandoned.add(claim.token)

    async def finish(self, claim: Claim, request_id: str) -> None:
        """Mark the claim as done; its row still prevents a second run."""
        content = self._content(claim, request_id, DONE)
        try:
            row = await self._tables.read(TABLE, claim.key)
            if row and row.content['token'] == claim.token:
                await self._write(claim, content, row.version)
        except PlatformError:
            # The row still prevents a second run; only its state is stale.
            return

    async def _insert(
        self, claim: Claim, request_id: str, until_ms: int
    ) -> None:
        content = self._content(claim, request_id, RUNNING)
        version = 0
        while self._clock.now() < until_ms:
            try:
                await self._write(claim, content, version)
            except ConflictError:
                row = await self._read(claim.key)
                if row and row.content['token'] == claim.token:
                    return
                version = self._takeover_version(claim.key, row)
            except PlatformError:
                version = 0
            else:
                return
            await self._clock.sleep(_RETRY_MS)
        raise ClaimRefusedError(
            'the table service did not answer in time',
            is_taken=False,
            key=claim.key,
        )

    def _content(
        self, claim: Claim, request_id: str, state: str
    ) -> dict[str, Any]:
        return {
            'token': claim.token,
            'owner': self._owner,
            'request': request_id,
            'state': state,
            'digest': claim.digest,
        }

    async def _write(
        self, claim: Claim, content: dict[str, Any], version: int
    ) -> None:
        await self._tables.transact(
            [Check(TABLE, claim.key, version)],
            [Write(TABLE, claim.key, content)],
        )

    async def _read(self, key: str) -> Row | None:
        try:
            return await self._tables.read(TABLE, key)
        except PlatformError:
            return None

    def _takeover_version(self, key: str, row: Row | None) -> int:
        """Return the version at which the next attempt may write."""
        if row is None:
            return 0
        if row.content['token'] in self._abandoned:
            return row.version
        raise ClaimRefusedError(
            'another run holds the claim', is_taken=True, key=key, held=row
        )
