"""Ingresses of one name that are open in this process, so that all who open a deployment share its quotas.

Theory of operation. The first holder of a name opens the ingress, further ones in the same event loop get
that one, and the last to leave closes it. Another loop (in another thread) is refused: the engine and the
decision module are meant for one thread, every event would need a lock, and a timer or a connection of one
loop can't be used from the other; two ingresses would each let in the whole quota. Programs with several
loops or worker processes give each an index of its own and share through the counter.

The table holds an entry only while somebody has it open. Its lock is held for no longer than a look-up.
"""

from __future__ import annotations

import asyncio
import threading

from troutdock.library.deployment import Deployment
from troutdock.library.local import Ingress
from troutdock.platform.config import ConfigError


class DeploymentInUse(RuntimeError):
    """A deployment of this name is open in another event loop of this process."""


class _Entry:
    """One open deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.ingress = Ingress(deployment)
        self.loop = asyncio.get_running_loop()
        self.holders = 0
        self.opened: asyncio.Task[None] = self.loop.create_task(self.ingress.open())


_entries: dict[str, _Entry] = {}
_lock = threading.Lock()


async def join(deployment: Deployment) -> Ingress:
    """The open ingress of this deployment.

    DeploymentInUse: another loop has it. ConfigError: it is open here with other settings.
    """
    with _lock:
        entry = _entries.get(deployment.name)
        if entry is not None and entry.loop.is_closed():
            entry = None  # its host ended without a word
        if entry is None:
            entry = _entries[deployment.name] = _Entry(deployment)
        elif entry.loop is not asyncio.get_running_loop():
            raise DeploymentInUse(
                f"deployment {deployment.name!r} is open in another event loop of this process; "
                "give each loop its own name and index, and share the quotas through a counter"
            )
        elif entry.ingress.deployment != deployment:
            raise ConfigError(f"deployment {deployment.name!r} is open in this process with other settings")
        entry.holders += 1
    try:
        await asyncio.shield(entry.opened)
    except BaseException:
        await leave(entry.ingress)
        raise
    return entry.ingress


async def leave(ingress: Ingress, grace_s: float | None = None) -> None:
    """The holder needs it no more; the last one drains and closes it, as Ingress.close does."""
    with _lock:
        entry = _entries.get(ingress.deployment.name)
        if entry is None or entry.ingress is not ingress:
            return
        entry.holders -= 1
        if entry.holders:
            return
        del _entries[ingress.deployment.name]
    if not entry.opened.done():
        entry.opened.cancel()
    await asyncio.wait({entry.opened})
    await ingress.close(grace_s)
