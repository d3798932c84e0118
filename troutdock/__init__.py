"""troutdock: an admission ingress on real sockets, round the decisions of tamarindfold."""

__version__ = "0.2.0"
