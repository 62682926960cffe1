"""A stand-in for a model engine or a plain HTTP service."""

from seampond.testing.engine.app import engine_app as engine_app
from seampond.testing.engine.app import open_engine as open_engine
