"""Stand-ins for the review scripts: store, servers, callers and host processes."""
