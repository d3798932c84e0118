"""Which customer has which plan, from when on (no I/O)."""
