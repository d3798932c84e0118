"""Who else is there: partial views, and who is next in an order that all agree on (no I/O, no clock)."""
