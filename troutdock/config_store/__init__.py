"""The store of configurations: a primary, its backup, and witnesses that keep only epochs."""
