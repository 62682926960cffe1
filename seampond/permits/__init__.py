"""Permits to send requests to servers that report a rate limit."""
