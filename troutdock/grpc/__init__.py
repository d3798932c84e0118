"""gRPC over HTTP/2: client-facing frontend and backend transport on the shared engine; loaded only if used.

Messages are opaque: protobuf is not needed, and compressed messages are forwarded unchanged.
"""
