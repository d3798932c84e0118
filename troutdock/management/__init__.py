"""What operators may ask of a running process, at an address apart from the clients'."""
