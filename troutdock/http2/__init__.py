"""HTTP/2 (RFC 9113) with HPACK (RFC 7541), without I/O: bytes in, handler callbacks and bytes out."""
