"""The host process: serves callers, talks to peers, upstreams and the platform."""
