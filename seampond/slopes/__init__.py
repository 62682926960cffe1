"""Benchmarks of the marginal cost of links, requests, tokens and rows."""
