"""HTTP/1.1: the front for clients and the transport to backends."""
