"""Whom an ingress follows, and which configuration it serves: events in, actions out (no I/O, no clock).

Theory of operation. A registry is *in contact* while it says Fresh(True): it is linked to a primary that
reaches a majority of the store's voters. Following decides which registry is followed. The first that says
who it is, near ones first, is followed at once; one that is out of contact for PATIENCE_S is left for one
that is in contact and stayed so for SETTLE_S (at a change of primaries all of them regain it at about the
same time, and who is first is not to get all followers). Looks at others begin STEP_S apart whatever the
ones before do, so an address that hangs holds up nothing. A look that finds a registry out of contact stays
linked as a *standby* of which nothing is kept but whether it is in contact: as soon as it is, it is dialled
anew. Where nobody is in contact the one that is followed stays.

Serving decides about configurations. While in contact, a higher version is served as it comes. Out of
contact it is held: it may be an order that was never kept. Who has no configuration at all by the end of
contactS after its start serves the highest that was told out of contact; before that it has none.

All times are seconds of the owner's steady clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import inf

from troutdock.rpc.connection import CONNECT_TIMEOUT_S
from troutdock.rpc.messages import Config, Fresh
from troutdock.endpoints.rendezvous import ranked

STEP_S = 0.1  # between the beginnings of two looks
RETRY_S = 0.1  # between two tries of an address while nobody is followed
PATIENCE_S = 0.3  # out of contact, until others are looked at
UNTOLD_S = 1.0  # the same for one that has not said whether it is in contact
SETTLE_S = 0.2  # in contact, until one is followed in place of another
SOON_S = 0.05  # in place of both in a life that has followed none in contact yet, and serves nobody
AGAIN_S = 1.0  # between two tries of an address that is no standby, while the followed one is out of contact
BETTER_S = 2.0  # between two looks at one that would be nearer
LOOK_MOST_S = 10.0  # a look takes at most so long, however large the configuration is
OTHERS_MOST = 8  # links to registries beside the one that is followed
SHORT_S = 0.001  # two moments that are nearer are one
TURN_S = 2.0  # a standby's least time, where more registries are known than may be linked


# ---- whom to follow


@dataclass(frozen=True, slots=True)
class Dial:
    """Open a link to that address; its events carry the number."""

    number: int
    ip: str


@dataclass(frozen=True, slots=True)
class Follow:
    """Hear this link from now on, with what it has said so far."""

    number: int


@dataclass(frozen=True, slots=True)
class Shed:
    """Keep nothing of what this link says, but whether it is in contact."""

    number: int


@dataclass(frozen=True, slots=True)
class Cut:
    """End this link; nothing that it says later counts."""

    number: int


Step = Dial | Follow | Shed | Cut


@dataclass(slots=True)
class _Way:
    """A link to a registry, or a try at one. contact: what it has said of itself; none: nothing yet."""

    number: int
    ip: str
    began_at: float
    heard_at: float
    met: bool = False
    contact: bool | None = None
    standby: bool = False


class Following:
    """One ingress's choice among the registries that it knows."""

    def __init__(self, name: str, zone: str, registries: Iterable[str]) -> None:
        """name: the ingress's machine; zone: its own; registries: addresses."""
        self._name, self._zone = name, zone
        self.registries = dict.fromkeys(registries, "")  # zones by address, empty where not met yet
        self.followed: int | None = None
        self._ways: dict[int, _Way] = {}
        self._tried: dict[str, float] = {}  # by address: the last try
        self._settled: dict[str, float] = {}  # by address: in contact since
        self._last, self._last_at = 0, -inf  # the last try of all
        self._new = True  # none in contact was followed yet
        self._since = -inf  # the one that is followed is so
        self._out_since = inf  # and is out of contact

    # ---- events

    def learnt(self, now: float, registries: Mapping[str, str]) -> list[Step]:
        """Registries that there are, with their zones; an empty zone takes no known one away."""
        for ip, zone in registries.items():
            if zone or ip not in self.registries:
                self.registries[ip] = zone
        return self._decide(now)

    def met(self, now: float, number: int, ip: str, zone: str) -> list[Step]:
        """That link's peer has said who it is."""
        if (way := self._ways.get(number)) is None:
            return [Cut(number)]
        way.met, way.heard_at = True, now
        self.registries[ip] = zone
        return self._decide(now)

    def heard(self, number: int, at: float) -> None:
        """Bytes have come on that link."""
        if (way := self._ways.get(number)) is not None:
            way.heard_at = max(way.heard_at, at)

    def told(self, now: float, number: int, contact: bool) -> list[Step]:
        """That link's peer says whether it is in contact."""
        if (way := self._ways.get(number)) is None:
            return []
        if contact:
            self._settled.setdefault(way.ip, now)
        else:
            self._settled.pop(way.ip, None)
        if number == self.followed:
            if not contact and self._out_since == inf:
                self._tried.clear()  # looks begin with the first in order
            self._out_since = inf if contact else min(self._out_since, now)
            self._new = self._new and not contact
        way.contact, way.heard_at = contact, now
        return self._decide(now)

    def ended(self, now: float, number: int) -> list[Step]:
        """That link is down, or the try has failed."""
        if (way := self._ways.pop(number, None)) is None:
            return []
        self._settled.pop(way.ip, None)
        if number == self.followed:
            self.followed, self._out_since = None, inf
            self._tried.clear()
        return self._decide(now)

    def tick(self, now: float) -> list[Step]:
        """Time has gone by."""
        return self._decide(now)

    def wait(self, now: float) -> float:
        """Seconds until the next tick is of use: infinite, where only events matter."""
        way = self._ways.get(self.followed) if self.followed is not None else None
        if way is None or not way.contact or len(self._ways) > 1:
            return STEP_S / 2
        return max(0.0, min((self._again_at(ip) - now for ip in self._nearer(way)), default=inf))

    # ---- choices

    def order(self) -> list[str]:
        """Addresses of registries: those near first, then an order of this ingress's own."""
        return sorted(ranked(self._name, self.registries), key=lambda ip: self.registries[ip] != self._zone)

    def _nearer(self, way: _Way) -> list[str]:
        """Near ones that come before the one that is followed."""
        order = self.order()
        here = order.index(way.ip) if way.ip in order else len(order)
        return [ip for ip in order[:here] if self.registries[ip] == self._zone]

    def _again_at(self, ip: str) -> float:
        return max(self._tried.get(ip, -inf), self._since) + BETTER_S

    def _decide(self, now: float) -> list[Step]:
        steps: list[Step] = []
        order = {ip: n for n, ip in enumerate(self.order())}
        others = sorted(
            (w for w in self._ways.values() if w.number != self.followed),
            key=lambda w: order.get(w.ip, len(order)),
        )
        for way in list(others):
            late = not way.met and now - way.began_at > CONNECT_TIMEOUT_S
            mute = way.met and way.contact is None and now - way.heard_at > CONNECT_TIMEOUT_S
            if late or mute or (way.contact is None and now - way.began_at > LOOK_MOST_S):
                self._cut(way, others, steps)
        followed = self._ways.get(self.followed) if self.followed is not None else None
        if followed is None:
            for way in [w for w in others if w.standby]:  # nothing of what it said is there any more
                self._cut(way, others, steps)
            ready = [w for w in others if w.met and w.contact is not False]
            best = min(ready, key=lambda w: not w.contact, default=None)
            best = best or next((w for w in others if w.met), None)
            if best is not None:
                followed = self._follow(now, best, others, steps)
        elif not followed.contact:
            settle = SOON_S if self._new else SETTLE_S
            settled = [w for w in others if w.contact and now - self._settled.get(w.ip, now) >= settle]
            best = next((w for w in settled if not w.standby), None)
            if best is not None:
                followed = self._follow(now, best, others, steps)
            elif settled and not any(w.contact is None and w.ip in self._settled for w in others):
                way = settled[0]
                since = self._settled[way.ip]
                self._cut(way, others, steps)
                self._settled[way.ip] = since
                self._dial(now, way.ip, steps)
                return steps
        else:
            nearer = self._nearer(followed)
            best = next((w for w in others if w.contact and not w.standby and w.ip in nearer), None)
            if best is not None:
                followed = self._follow(now, best, others, steps)
        if followed is not None and followed.contact:
            nearer = self._nearer(followed)
            for way in list(others):
                if way.contact is not None or way.ip not in nearer:
                    self._cut(way, others, steps)
        elif followed is not None:
            for way in others:
                if way.contact is False and not way.standby:
                    way.standby = True
                    steps.append(Shed(way.number))
        self._look(now, followed, others, steps)
        return steps

    def _look(self, now: float, followed: _Way | None, others: list[_Way], steps: list[Step]) -> None:
        """Begin a look, where one is due."""
        order = self.order()
        if followed is None:
            pause = RETRY_S
        elif followed.contact:
            if others:
                return
            order, pause = self._nearer(followed), BETTER_S
            if now - self._since < BETTER_S:
                return
        else:
            patience = UNTOLD_S if followed.contact is None else SOON_S if self._new else PATIENCE_S
            if now - self._out_since < patience:
                return
            pause = AGAIN_S
        linked = {way.ip for way in self._ways.values()}
        due = [ip for ip in order if ip not in linked and now - self._tried.get(ip, -inf) >= pause]
        if not due:
            return
        if len(others) >= OTHERS_MOST:
            oldest = min(others, key=lambda w: w.began_at)
            if oldest.standby and now - oldest.began_at >= TURN_S:
                self._cut(oldest, others, steps)
            return
        last = self._ways.get(self._last)
        if last is not None and not last.met and self._last_at + STEP_S - now > SHORT_S:
            return
        self._dial(now, min(due, key=lambda ip: self._tried.get(ip, -inf)), steps)

    def _dial(self, now: float, ip: str, steps: list[Step]) -> None:
        self._last, self._last_at = self._last + 1, now
        self._tried[ip] = now
        self._ways[self._last] = _Way(self._last, ip, now, now)
        steps.append(Dial(self._last, ip))

    def _cut(self, way: _Way, others: list[_Way], steps: list[Step]) -> None:
        del self._ways[way.number]
        self._settled.pop(way.ip, None)
        if way in others:
            others.remove(way)
        steps.append(Cut(way.number))

    def _follow(self, now: float, way: _Way, others: list[_Way], steps: list[Step]) -> _Way:
        before = self._ways.get(self.followed) if self.followed is not None else None
        others.remove(way)
        self.followed, self._since = way.number, now
        self._out_since = inf if way.contact else now
        self._new = self._new and not way.contact
        steps.append(Follow(way.number))
        if before is not None:
            self._cut(before, others, steps)
        return way


# ---- which configuration is served


@dataclass(frozen=True, slots=True)
class Serve:
    """Put this configuration in force here, and tell Serving with served() what came of it."""

    config: Config


@dataclass(frozen=True, slots=True)
class Ready:
    """The newest configuration is here for the first time in this life: clients are wanted."""

    version: int


@dataclass(frozen=True, slots=True)
class Note:
    """Something to log. level: of logbook's methods."""

    level: str
    text: str


Act = Serve | Ready | Note


def same(one: str, other: str) -> bool:
    """Whether digests of one version may be of one body; an empty one was not told."""
    return not one or not other or one == other


@dataclass(slots=True)
class Serving:
    """Which configuration this life of an ingress serves, and whether it wants clients.

    began_at: the process's start; contact_s: bounds.contactS. version 0: none is served.
    """

    began_at: float
    contact_s: float
    version: int = 0
    digest: str = ""
    contact: bool | None = None  # of the registry that is followed; none: it has not said so yet
    _newest: Fresh | None = None  # what one in contact has said last
    _held: Config | None = None  # told by the one that is followed, not served
    _former: Config | None = None  # the highest that those before it told, while none is served
    _synced: bool = False
    _woke_at: float = -inf
    _old: bool = False  # serves what was told out of contact
    _mended: int = 0  # the version whose body was exchanged
    _noted: set[tuple[int, str]] = field(default_factory=set)
    _refused: tuple[int, str] | None = None

    @property
    def ready(self) -> bool:
        """The newest has been here once, and since a freeze one in contact was heard, or contactS is over."""
        return self._synced and self._woke_at == -inf

    # ---- events

    def followed(self) -> None:
        """Another registry is followed, or the same one anew: what it says begins again."""
        self.lost()

    def lost(self) -> None:
        """Nobody is followed."""
        self.contact = self._newest = None
        self._keep_former()
        self._held = None

    def woke(self, now: float) -> None:
        """The process stood still, longer than a link may be silent: all that was heard is of before."""
        self.lost()
        self._woke_at = now

    def config(self, now: float, config: Config) -> list[Act]:
        """The registry that is followed tells a configuration."""
        version, digest = config.version, config.digest
        if version < self.version or (version, digest) == self._refused:
            return []
        if version == self.version:
            if same(digest, self.digest):
                return []
            return [*self._conflict(version, digest), *self._mend(config)]
        if self.contact or self._old:
            return [Serve(config)]
        self._held = config
        return self.tick(now)

    def fresh(self, now: float, fresh: Fresh) -> list[Act]:
        """The registry that is followed tells whether it is in contact."""
        self.contact = fresh.fresh
        if not fresh.fresh:
            self._newest = None
            return self.tick(now)
        self._newest, self._old, self._woke_at = fresh, False, -inf
        held, self._held = self._held, None
        acts: list[Act] = []
        if held is not None and held.version == fresh.version and not same(held.digest, fresh.digest):
            acts += self._conflict(held.version, held.digest, fresh.digest)
        elif held is not None and held.version >= fresh.version:
            if held.version > self.version:
                return [Serve(held)]
            if held.version == self.version and not same(held.digest, self.digest):
                return [*acts, *self._conflict(held.version, held.digest), *self._mend(held)]
        elif held is not None:
            self._held = held  # the newest is still on its way
        if fresh.version == self.version and not same(fresh.digest, self.digest):
            acts += self._conflict(fresh.version, fresh.digest)
        return [*acts, *self._sync()]

    def served(self, config: Config, ok: bool) -> list[Act]:
        """What came of Serve. ok false: the body can't be read, and what was served before is served on."""
        if not ok:
            self._refused = config.version, config.digest
            return []
        self.version, self.digest = config.version, config.digest
        self._former = self._held = None
        return self._sync()

    def tick(self, now: float) -> list[Act]:
        """Time has gone by."""
        if now - self._woke_at >= self.contact_s:
            self._woke_at = -inf
        if self.version or self.contact or now - self.began_at < self.contact_s:
            return []
        self._keep_former()
        self._held = None
        if (config := self._former) is None:
            return []
        self._former, self._old = None, True
        return [
            Note(
                "warning",
                f"No registry in contact within {self.contact_s:g} s of the start: "
                f"serves r{config.version}, which may be old.",
            ),
            Serve(config),
        ]

    # ---- parts

    def _keep_former(self) -> None:
        held, former = self._held, self._former
        if held is not None and not self.version and (former is None or held.version >= former.version):
            self._former = held

    def _conflict(self, version: int, digest: str, other: str = "") -> list[Act]:
        """Two bodies under one number: logged once for each."""
        if (version, digest) in self._noted:
            return []
        if self._noted and max(self._noted)[0] != version:
            self._noted.clear()  # bounded: of one version, and few bodies
        if len(self._noted) < 4:
            self._noted.add((version, digest))
            return [Note("error", f"r{version} has two bodies: {other or self.digest} and {digest}.")]
        return []

    def _mend(self, config: Config) -> list[Act]:
        """Another body of the version that is served: taken once, and from one in contact only."""
        newest = self._newest
        if newest is None or newest.version != config.version or not same(config.digest, newest.digest):
            self._held = config
            return []
        if self._mended == config.version:
            return []
        self._mended = config.version
        return [Serve(config)]

    def _sync(self) -> list[Act]:
        """Ready, where what is served is the newest as one in contact tells it."""
        newest = self._newest
        if newest is None or self._synced or not self.version or self.version < newest.version:
            return []
        if self.version == newest.version and not same(self.digest, newest.digest):
            return []
        self._synced = True
        return [Ready(self.version)]
