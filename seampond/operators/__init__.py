"""The command line: commands for daemons and for operators."""
