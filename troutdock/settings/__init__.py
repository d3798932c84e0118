"""Settings of processes and configurations of operators: name, type, default and check of each value."""
