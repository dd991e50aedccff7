"""Host process: serves callers and talks to peers, upstreams and the platform."""
