"""State shared between gateways: peers, heartbeats and quotas."""

from seampond.sharing.bucket import QuotaMargin as QuotaMargin
from seampond.sharing.hashing import hash_name as hash_name
from seampond.sharing.heartbeats import Heartbeat as Heartbeat
from seampond.sharing.heartbeats import Load as Load
from seampond.sharing.heartbeats import RelayedPage as RelayedPage
from seampond.sharing.peers import Peers as Peers
from seampond.sharing.peers import (
    compute_heartbeat_interval_ms as compute_heartbeat_interval_ms,
)
from seampond.sharing.quotas import Quotas as Quotas
