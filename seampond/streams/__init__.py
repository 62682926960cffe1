"""Which server version began each stream, shared among gateways."""
