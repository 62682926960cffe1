"""Local copies of the store's tables, kept up to date by a change feed."""

from seampond.watches.freshness import FreshnessProof as FreshnessProof
from seampond.watches.freshness import TableFreshness as TableFreshness
from seampond.watches.hedging import HedgedSource as HedgedSource
from seampond.watches.probe import compute_proof_age_ms as compute_proof_age_ms
from seampond.watches.probe import probe_on_request as probe_on_request
from seampond.watches.probe import probe_when_stale as probe_when_stale
from seampond.watches.rows import HistoryGoneError as HistoryGoneError
from seampond.watches.rows import LongChangesError as LongChangesError
from seampond.watches.rows import Page as Page
from seampond.watches.rows import Row as Row
from seampond.watches.rows import TableSource as TableSource
from seampond.watches.rows import era_of as era_of
from seampond.watches.rows import make_version as make_version
from seampond.watches.rows import revision_of as revision_of
from seampond.watches.store_clock import StoreClock as StoreClock
from seampond.watches.watch import Watch as Watch
