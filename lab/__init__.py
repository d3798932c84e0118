"""Simulations of fleets and their dependencies in simulated time, without I/O or a real clock."""
