"""Sources of what a host knows, as named in logs and metrics."""

SOURCE_OWN = "own"
SOURCE_PEER = "peer"
SOURCE_STORE = "store"
