"""Gateway: routes callers' requests to upstreams and merges responses of shards."""
