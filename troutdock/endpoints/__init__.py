"""Endpoint tables of backends and rendezvous ordering of processes (no I/O, no clock)."""
