"""Randomized soak tests: traffic under seeded faults."""
