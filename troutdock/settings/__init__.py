"""Tables of settings and configurations: name, type, default and check of each value."""
