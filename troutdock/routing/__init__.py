"""Selection of the pool for a request: normalized targets, compiled routes, sticky splits (no I/O)."""
