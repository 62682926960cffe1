"""The state of a request inside an entry, and its refusals."""

from seampond.requests.refusals import Reason as Reason
from seampond.requests.refusals import RefusedError as RefusedError
from seampond.requests.refusals import RunStatus as RunStatus
from seampond.requests.work import Ticket as Ticket
from seampond.requests.work import Work as Work
