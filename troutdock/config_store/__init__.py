"""Replicated store of configurations: a primary, its backups, and witnesses that only vote on epochs."""
