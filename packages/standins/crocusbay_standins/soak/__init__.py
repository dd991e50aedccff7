"""Soak: real hosts as processes, faults from outside them, promises checked."""
