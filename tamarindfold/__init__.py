"""tamarindfold: the decisions of an admission gateway for a service sold by plan."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tamarindfold.choice import Gateway
    from tamarindfold.interface import Settings

__all__ = ["Gateway", "Settings"]


def __getattr__(name: str) -> Any:
    """Loaded when asked for: the whole gateway's proxy starts without the decisions of a single site."""
    if name == "Gateway":
        from tamarindfold.choice import Gateway

        return Gateway
    if name == "Settings":
        from tamarindfold.interface import Settings

        return Settings
    raise AttributeError(name)
