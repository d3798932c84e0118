"""The settings of an in-process ingress: nodes, plans and classes. Validated when they are created."""

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


def _check_names(what: str, names: Sequence[str]) -> None:
    for number, name in enumerate(names):
        if not name or not name.isascii() or "/" in name or any(c.isspace() for c in name):
            raise ConfigError(f"{what} {number}: {name!r} is not an ASCII name without '/' and spaces")
        if name in names[:number]:
            raise ConfigError(f"{what} {name!r} is there twice")


@dataclass(frozen=True, slots=True)
class Deployment:
    """A named deployment. All users of the same name in one process share its quota counts.

    name: any non-empty text. config: created by `of` or `from_file`, never directly.
    """

    name: str
    config: Config

    def __post_init__(self) -> None:
        if not self.name:
            raise ConfigError("a deployment needs a name")

    @classmethod
    def from_file(cls, path: str, name: str = "") -> Deployment:
        """Reads the platform's configuration file, the one that RELAY_CONFIG names for a daemon.

        Args:
            path: the file.
            name: replaces the name in the file.

        Raises:
            ConfigError: the file can't be used; the message is one line.
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
        """Creates a deployment from keyword arguments; ConfigError names the first invalid setting.

        classes, plans: see admission.interface; each needs a name. A class's name is the first segment of
            its requests' paths; its times are in milliseconds, a plan's rate is in units per second.
        nodes: "host:port" of each ledger node, if the list is fixed. discovery: "host:port" of the
            discovery agent; with it, `nodes` is only the initial list.
        counter: "host:port" of the shared counter. Without one this process counts locally, and `ingresses`
            must be 1: quotas would be split evenly, and use at one ingress would not count at the others.
        counter_timeout_s: time-out of a call to the counter; after it the attempt uses the local estimate.
        ingresses, index: number of ingresses that share the quotas, over all processes, and the index of
            this one, from 0.
        most_units: maximum units per request. max_attempts: per request, including the first.
        second_copies: a second attempt may start while the first runs, if the class allows repeats.
        marks_retry: clients mark their retries. max_retry_after_s: the longest Retry-After that is sent.
        sockets: connections to nodes may use half of it. max_answer_bytes: limit of a node's response.
        connect_timeout_s, idle_s: connect time-out, and the idle time after which nodes close a connection.
        start_capacity, cold_s, fall_multiple, overload_s: a node that has just started has start_capacity
            of its full capacity and is warm after cold_s; it fails if it receives over fall_multiple
            times its present capacity for overload_s.
        drain_grace_s: the longest time until a draining node receives no new requests.
        """
        _check_names("class", [c.name for c in classes])
        _check_names("plan", [p.name for p in plans])
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
