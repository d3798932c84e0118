"""Communication: netstrings of JSON over TCP between the system's processes, and HTTP from outside."""
