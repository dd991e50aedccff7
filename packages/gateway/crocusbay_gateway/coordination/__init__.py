"""Request coordination: admission, retries, scatter-gather, membership and views."""
