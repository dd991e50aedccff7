"""Simulated platform and upstream servers, a local cluster, a demo and a load test."""
