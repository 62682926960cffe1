"""The demo: every role in one process, driven by real HTTP requests."""
