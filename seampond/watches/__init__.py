"""Tables of the store, read once and followed from there."""

from seampond.watches.currency import Currency as Currency
from seampond.watches.currency import Proof as Proof
from seampond.watches.probe import keep_current as keep_current
from seampond.watches.rows import HistoryGoneError as HistoryGoneError
from seampond.watches.rows import Page as Page
from seampond.watches.rows import Row as Row
from seampond.watches.rows import TableSource as TableSource
from seampond.watches.store_time import StoreTime as StoreTime
from seampond.watches.watch import Watch as Watch
