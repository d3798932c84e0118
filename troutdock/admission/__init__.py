"""Admission control of a gateway for a service whose customers have plans with quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from troutdock.admission.gateway import Gateway
    from troutdock.admission.interface import Settings

__all__ = ["Gateway", "Settings"]


def __getattr__(name: str) -> Any:
    """Imports lazily, so that the proxy starts without loading the single-site gateway."""
    if name == "Gateway":
        from troutdock.admission.gateway import Gateway

        return Gateway
    if name == "Settings":
        from troutdock.admission.interface import Settings

        return Settings
    raise AttributeError(name)
