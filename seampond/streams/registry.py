"""Records which version began each stream and finds it for a resumption."""

import random
from collections.abc import Callable, Iterable

from seampond.clock import Clock, least_local_ms
from seampond.forwarding.backend import Backend
from seampond.forwarding.job import Job
from seampond.forwarding.refusals import Cause, Refusal
from seampond.forwarding.server import Server
from seampond.forwarding.stream_origins import ServerRun, StreamOrigin
from seampond.sharing.hashing import hash_name
from seampond.streams.known_origins import KnownOrigins
from seampond.streams.messages import (
    OriginMessage,
    OriginReply,
    OriginReport,
    OriginRequest,
    UnverifiedReport,
)
from seampond.streams.origin_table import OriginEntry
from seampond.streams.owners import GatewayDirectory, OriginOwners
from seampond.streams.reporting import OriginReporter
from seampond.streams.requests import OriginRequests
from seampond.streams.search import OriginSearch, hash_stream
from seampond.streams.stored import StoredOrigins

_OWNERS = 2
_UNKNOWN_RETRY_MS = 300
_STEP = 'resume'


class OriginRegistry:
    """The origins of the streams that began here or that this gateway owns.

    Explanation
    -----------
    A caller may resume its stream at another gateway, also when the one that
    began it has died.  That one therefore reports the origin to two owners,
    which follow from the stream's key, and a gateway that resumes a stream
    asks them.  All gateways may be lost at once, so the origins are kept in
    the store as well.  Nothing is reported or stored while a single version
    has served a pool for longer than streams last.

    Parameters
    ----------
    proof_age_ms : Callable[[], int]
        Return the age of the proof that the list of servers is current.
    count : Callable[[str], None]
        Counts resumed streams by the source of their origin.

    Attributes
    ----------
    requests : OriginRequests
        Requests to other gateways.

    """

    def __init__(
        self,
        gateways: GatewayDirectory,
        known: KnownOrigins,
        stored: StoredOrigins,
        clock: Clock,
        proof_age_ms: Callable[[], int],
        rng: random.Random,
        count: Callable[[str], None],
    ) -> None:
        """Start without streams."""
        self.requests = OriginRequests(rng)
        self._gateways = gateways
        self._clock = clock
        self._rng = rng
        self._count = count
        self._owners = OriginOwners(gateways)
        self._known = known
        self._stored = stored
        self._servers = known.servers
        self._history = known.history
        self._table = known.table
        self._reporter = OriginReporter(
            gateways, self._owners, self.requests, clock
        )
        self._search = OriginSearch(
            known,
            stored,
            gateways,
            self._owners,
            self.requests,
            proof_age_ms,
            clock,
        )

    def record(self, job: Job) -> None:
        """Record the origin of a stream whose first event has arrived."""
        if job.origin is not None:
            self._record(job, job.origin, None)

    def record_unverified(
        self,
        job: Job,
        origin: StreamOrigin,
        backend: Backend,
        connected_ms: int,
    ) -> None:
        """Record an origin that holds if the process that was known ran it.

        Explanation
        -----------
        It goes to the owners at once, which verify it on their own: the caller
        may be back, or this gateway gone, before it is certain.
        """
        run = self._servers.make_run(backend, connected_ms)
        self._record(job, origin, run)

    def request_proof(self, backend: Backend, connected_ms: int) -> None:
        """Request the proof of a server's row that verifies a connection."""
        run = self._servers.make_run(backend, connected_ms)
        self._servers.request_proof(run)

    def verify_runs(self) -> None:
        """Verify recorded origins, after a proof of the list of servers."""
        self._known.verify_runs()

    async def resolve(self, job: Job) -> None:
        """Find the origin of a stream that a caller resumes.

        Raises
        ------
        Refusal
            If the version that began it is not known, or the route does not
            lead to its pool any more.

        """
        if not job.is_resumed:
            return
        resumption = await self._search.find_verified(job, job.resumes)
        self._count(resumption.source if resumption else 'unknown')
        if resumption is None:
            raise Refusal(
                Cause.version_unknown,
                step=_STEP,
                retry_after_ms=_UNKNOWN_RETRY_MS,
            )
        job.resumption = resumption
        job.origin = resumption.origin
        if job.origin.pool not in job.route.pools:
            raise Refusal(Cause.version_gone, step=_STEP)
        job.pool = job.origin.pool

    async def resolve_begun(self, job: Job) -> None:
        """Find the origin of a stream that has begun here, if it is verified.

        Explanation
        -----------
        A server may end before it is known which version it ran.
        """
        resumption = await self._search.find_verified(job, job.request_id)
        if resumption is not None:
            job.origin = resumption.origin

    def update_servers(self, servers: Iterable[Server]) -> None:
        """Apply the list of servers; report streams that may be resumed."""
        before = set(filter(self._history.is_settled, self._history.pools))
        self._history.update(servers)
        for pool in before:
            if not self._history.is_settled(pool):
                unreported = self._table.list_unreported(hash_name(pool))
                self._keep(list(unreported))

    async def adopt_history(self) -> None:
        """Take over the versions that another gateway has seen."""
        for pool in self._history.incomplete_pools:
            keepers = self._gateways.origin_keepers
            names = self._rng.sample(keepers, min(_OWNERS, len(keepers)))
            addresses = [self._gateways.address_of(name) for name in names]
            replies = await self.requests.request(0, hash_name(pool), addresses)
            for reply in replies:
                self._history.adopt(pool, reply.seen_ago_ms, reply.watched_ms)

    def handle_message(self, address: str, message: OriginMessage) -> None:
        """Handle a message of the gateway at an address."""
        if isinstance(message, OriginReply):
            self.requests.handle_reply(message)
        elif isinstance(message, OriginRequest):
            self.requests.send(address, self._known.answer(message))
        elif isinstance(message, UnverifiedReport):
            # The delay of the message and the rates of the clocks can only
            # make the connection seem younger than it is, which delays the
            # verification.
            ago_ms = least_local_ms(message.connected_ago_ms)
            connected_ms = self._clock.now() - ago_ms
            run = ServerRun(message.incarnation, connected_ms)
            self._apply_report(message, run)
        else:
            self._apply_report(message, None)

    def _record(
        self, job: Job, origin: StreamOrigin, run: ServerRun | None
    ) -> None:
        stream = hash_stream(job.request_id)
        entry = OriginEntry(
            hash_name(origin.pool),
            origin.version,
            self._clock.now(),
            is_own=True,
            run=run,
        )
        # Owners that know of it verify it themselves.
        is_new = self._table.add(stream, entry)
        if is_new and not self._history.is_settled(origin.pool):
            self._keep([(stream, entry)])

    def _keep(self, entries: Iterable[tuple[int, OriginEntry]]) -> None:
        """Let the owners and the store know the origins of streams."""
        for stream, entry in entries:
            self._stored.record(stream, entry)
        self._reporter.report(entries)

    def _apply_report(
        self, report: OriginReport | UnverifiedReport, run: ServerRun | None
    ) -> None:
        now_ms = self._clock.now()
        for stream in report.streams:
            entry = OriginEntry(report.pool, report.version, now_ms, run=run)
            self._table.add(stream, entry)
