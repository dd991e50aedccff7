"""Emulator: runs a whole deployment in one event loop on a virtual clock."""
