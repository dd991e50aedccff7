"""Gateway: forwards callers' requests to upstreams and gathers answers of shards."""
