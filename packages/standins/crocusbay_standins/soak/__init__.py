"""Soak test: real host processes under external faults, with invariant checks."""
