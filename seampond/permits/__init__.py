"""Permits to send to a server that names a limit, one ledger for each life."""
