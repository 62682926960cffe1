"""Seampond: a request scheduler for heterogeneous engines."""
