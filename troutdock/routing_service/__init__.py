"""Routing in the daemon: assigns requests to pools by the operator's routes, and manages the pools."""
