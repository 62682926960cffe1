"""Retries that gateways lend each other."""
