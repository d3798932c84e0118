"""Reservations: units that are set aside for a customer ahead of time.

Covers which reservations exist, how much may be committed in total, and which gateway may use which part. The
decision modules perform no I/O.
"""
