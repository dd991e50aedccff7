"""Query tier over many shards: the library under the host and the command."""
