"""What gateways share: who they are, and how a quota is split."""

from seampond.sharing.bucket import Margin as Margin
from seampond.sharing.heartbeats import Heartbeat as Heartbeat
from seampond.sharing.heartbeats import Load as Load
from seampond.sharing.heartbeats import ToldPage as ToldPage
from seampond.sharing.keys import key_of as key_of
from seampond.sharing.peers import Peers as Peers
from seampond.sharing.peers import give_beat_ms as give_beat_ms
from seampond.sharing.quotas import Quotas as Quotas
