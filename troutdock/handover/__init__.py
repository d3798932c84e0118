"""Hand-over at an upgrade: transfers the state and the client connections of a process to its successor."""
