"""troutdock.admission: the decisions of an admission gateway for a service sold by plan."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from troutdock.admission.gateway import Gateway
    from troutdock.admission.interface import Settings

__all__ = ["Gateway", "Settings"]


def __getattr__(name: str) -> Any:
    """Loaded when asked for: the whole gateway's proxy starts without the decisions of a single site."""
    if name == "Gateway":
        from troutdock.admission.gateway import Gateway

        return Gateway
    if name == "Settings":
        from troutdock.admission.interface import Settings

        return Settings
    raise AttributeError(name)
