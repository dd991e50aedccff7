"""Emulator: hosts, servers, store and callers in one event loop on a virtual clock."""
