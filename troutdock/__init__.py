"""troutdock: an admission ingress on real sockets, round the decisions of troutdock.admission."""

__version__ = "0.2.0"
