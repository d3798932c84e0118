"""Simulated processes: the daemons' own state machines, many in one process, in simulated time."""
