"""The management interface of a running process, on an address separate from the client listener."""
