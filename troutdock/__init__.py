"""troutdock: an admission control ingress; the decisions are made in troutdock.admission."""

__version__ = "0.2.0"
