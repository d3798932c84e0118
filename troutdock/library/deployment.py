"""What a program tells the library: which nodes, plans and classes there are. Checked when it is made."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from secrets import randbits

from troutdock.admission.interface import BackendEntry, FleetUpdate, ListKind, Plan, RequestClass, Settings
from troutdock.address import Address, parse_address
from troutdock.http.response import MAX_BODY
from troutdock.overload.damping import ALL_ENABLED
from troutdock.platform.config import MIN_SOCKETS, Config, ConfigError, load_config
from troutdock.platform.discovery import Endpoints, ListReader, backend_id


def _address(what: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{what}: {error}") from error


def _named(what: str, names: Sequence[str]) -> None:
    for number, name in enumerate(names):
        if not name or not name.isascii() or "/" in name or any(c.isspace() for c in name):
            raise ConfigError(f"{what} {number}: {name!r} is no name in ASCII without '/' and spaces")
        if name in names[:number]:
            raise ConfigError(f"{what} {name!r} is there twice")


@dataclass(frozen=True, slots=True)
class Deployment:
    """A named deployment; whoever opens the same name in one process shares its quota counts.

    name: any text of the program's choice. config: made by `of` or `from_file`, never by hand.
    """

    name: str
    config: Config

    def __post_init__(self) -> None:
        if not self.name:
            raise ConfigError("a deployment needs a name")

    @classmethod
    def from_file(cls, path: str, name: str = "") -> Deployment:
        """What the platform tells an ingress, from the file that RELAY_CONFIG would name.

        name: the name in the file unless given. ConfigError, on one line, if it can't be used.
        """
        config = load_config(path)
        return cls(name or config.name or "troutdock", config)

    @classmethod
    def of(
        cls,
        name: str,
        *,
        classes: Sequence[RequestClass],
        plans: Sequence[Plan],
        nodes: Sequence[str] = (),
        discovery: str = "",
        counter: str = "",
        counter_timeout_s: float = 0.05,
        ingresses: int = 1,
        index: int = 0,
        most_units: float = 8.0,
        max_attempts: int = 3,
        second_copies: bool = True,
        marks_retry: bool = False,
        max_retry_after_s: float = 10.0,
        sockets: int = 512,
        max_answer_bytes: int = 1024 * 1024,
        connect_timeout_s: float = 0.25,
        idle_s: float = 15.0,
        start_capacity: float = 0.2,
        cold_s: float = 15.0,
        fall_multiple: float = 2.0,
        overload_s: float = 3.0,
        drain_grace_s: float = 0.5,
    ) -> Deployment:
        """A deployment in the program's own words; ConfigError names the first setting that can't be used.

        classes, plans: see admission.interface; each needs a name. A class's name is the first part of
            the paths of its requests; its times are milliseconds, a plan's rate is units per second.
        nodes: "host:port" of ledger nodes, where the list never changes. discovery: "host:port" of the
            agent that knows the list; with it, nodes are those known at the start.
        counter: "host:port" of the shared counter. Without one this process counts by itself, and
            `ingresses` must be 1: quotas would be split evenly, and use at one would not count at the others.
        counter_timeout_s: a call of the counter is given up after it, and the try goes by what is known.
        ingresses, index: how many share the quotas, over all processes, and which of them this is, from 0.
        most_units: the largest request. max_attempts: for one request, the first among them.
        second_copies: a second copy may go out while the first runs, where the class allows a repeat.
        marks_retry: clients mark their retries. max_retry_after_s: the longest time that is worth telling.
        sockets: connections to nodes are bounded by half of it. max_answer_bytes: of a node's answer.
        connect_timeout_s, idle_s: a connection to a node comes up within the first, and nodes close one
            that has stood idle for the second.
        start_capacity, cold_s, fall_multiple, overload_s: a node that has just started does this part of
            its work, is warm after cold_s, and falls over with fall_multiple times that for overload_s.
        drain_grace_s: the longest time until a node that leaves gets nothing new.
        """
        _named("class", [c.name for c in classes])
        _named("plan", [p.name for p in plans])
        if ingresses > 1 and not counter:
            raise ConfigError("ingresses: more than one needs a counter, through which they share the quotas")
        if sockets < MIN_SOCKETS:
            raise ConfigError(f"sockets: {sockets} is below {MIN_SOCKETS}")
        if max_answer_bytes < MAX_BODY:
            raise ConfigError(f"max_answer_bytes: {max_answer_bytes} is below {MAX_BODY}")
        for what, value in (("connect_timeout_s", connect_timeout_s), ("idle_s", idle_s)):
            if not 0 < value < 3600:
                raise ConfigError(f"{what}: {value!r} is not a number of seconds between 0 and 3,600")
        for node in nodes:
            if list(nodes).count(node) > 1:
                raise ConfigError(f"nodes: {node!r} is there twice")
        endpoints: Endpoints = {backend_id(node): _address("nodes", node) for node in nodes}
        try:
            settings = Settings(
                gateways=ingresses,
                index=index,
                classes=tuple(classes),
                plans=tuple(plans),
                max_attempts=max_attempts,
                start_capacity=start_capacity,
                cold_ms=cold_s * 1000,
                fall_multiple=fall_multiple,
                overload_ms=overload_s * 1000,
                drain_grace_ms=drain_grace_s * 1000,
                most_units=most_units,
                marks_retry=marks_retry,
                max_retry_after_ms=max_retry_after_s * 1000,
                second_copies=second_copies,
                cancel=True,
                counter=bool(counter),
                counter_timeout_ms=counter_timeout_s * 1000,
                settled_after=True,
            )
        except (ValueError, TypeError) as error:
            raise ConfigError(" ".join(str(error).split())) from error
        return cls(
            name,
            Config(
                name=name,
                listen=None,
                discovery=_address("discovery", discovery) if discovery else None,
                counter=_address("counter", counter) if counter else None,
                seed=randbits(64),
                list_reader=ListReader((), ()),
                known=(FleetUpdate(ListKind.CACHED, [BackendEntry(b) for b in endpoints]), endpoints),
                settings=settings,
                sockets=sockets,
                max_answer=max_answer_bytes,
                connect_timeout_s=connect_timeout_s,
                damping=ALL_ENABLED,
                idle_s=idle_s,
            ),
        )
