"""Plans assigned to customers, with the time from which each assignment is valid."""
