"""The open ingresses of this process by deployment name, so that all users of a deployment share its quotas.

Theory of operation. The first user of a name opens the ingress, further users in the same event loop share
it, and the last one to leave closes it. Another loop (in another thread) is rejected: the engine and the
decision module are single-threaded, sharing them would need a lock for every event, and a timer or a
connection of one loop can't be used from another; two ingresses would each admit the whole quota. Programs
with several loops or worker processes give each its own index and share the quotas through the counter.

The table has an entry only while the ingress is in use. Its lock is held only for a look-up.
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
    """An open deployment and its reference count."""

    def __init__(self, deployment: Deployment) -> None:
        self.ingress = Ingress(deployment)
        self.loop = asyncio.get_running_loop()
        self.users = 0
        self.opened: asyncio.Task[None] = self.loop.create_task(self.ingress.open())


_entries: dict[str, _Entry] = {}
_lock = threading.Lock()


async def join(deployment: Deployment) -> Ingress:
    """Returns the open ingress of this deployment; opens it for the first user.

    Raises:
        DeploymentInUse: it is open in another event loop.
        ConfigError: it is open in this loop with other settings.
    """
    with _lock:
        entry = _entries.get(deployment.name)
        if entry is not None and entry.loop.is_closed():
            entry = None  # its event loop ended without leave()
        if entry is None:
            entry = _entries[deployment.name] = _Entry(deployment)
        elif entry.loop is not asyncio.get_running_loop():
            raise DeploymentInUse(
                f"deployment {deployment.name!r} is open in another event loop of this process; "
                "give each loop its own name and index, and share the quotas through a counter"
            )
        elif entry.ingress.deployment != deployment:
            raise ConfigError(f"deployment {deployment.name!r} is open in this process with other settings")
        entry.users += 1
    try:
        await asyncio.shield(entry.opened)
    except BaseException:
        await leave(entry.ingress)
        raise
    return entry.ingress


async def leave(ingress: Ingress, grace_s: float | None = None) -> None:
    """Releases the ingress; the last user drains and closes it, as Ingress.close does."""
    with _lock:
        entry = _entries.get(ingress.deployment.name)
        if entry is None or entry.ingress is not ingress:
            return
        entry.users -= 1
        if entry.users:
            return
        del _entries[ingress.deployment.name]
    if not entry.opened.done():
        entry.opened.cancel()
    await asyncio.wait({entry.opened})
    await ingress.close(grace_s)
