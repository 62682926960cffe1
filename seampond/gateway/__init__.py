"""The gateway: takes requests from callers and sends them to servers."""
