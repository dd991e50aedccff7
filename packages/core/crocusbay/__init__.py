"""Query tier over many shards: the library shared by the host and the command."""
