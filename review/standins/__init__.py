"""Stand-ins for the review's scripts: store, servers, clients and host processes.

They use the standard library alone, and run in the process of the script.
"""
