"""The agent's side: reservations, asks, and runs on one backend server."""

from seampond.engines.agent import Agent as Agent
from seampond.engines.call import open_backend as open_backend
