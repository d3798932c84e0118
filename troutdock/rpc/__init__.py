"""What the system's processes say to each other: netstrings of JSON on TCP, and calls from outside."""
