"""Gateway that routes callers' requests to upstreams and merges shard responses."""
