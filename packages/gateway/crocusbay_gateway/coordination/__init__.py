"""Coordination: routing, limits, retries, gathers, membership and the store's views."""
