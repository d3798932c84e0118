"""tamarindfold: the decisions of an admission gateway for a service sold by plan."""

from tamarindfold.choice import Gateway
from tamarindfold.interface import Settings

__all__ = ["Gateway", "Settings"]
