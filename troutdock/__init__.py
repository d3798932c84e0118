"""troutdock: an admission ingress on real sockets, round the decisions of tamarindfold."""
