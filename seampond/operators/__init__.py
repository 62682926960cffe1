"""The command line: daemons and operators' commands."""
