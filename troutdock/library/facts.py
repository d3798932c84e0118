"""What a request is admitted on: who asks, for what, how much, and for how long the answer is of use."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from troutdock.admission.interface import RequestArrived, RequestClass, Settings
from troutdock.engine import BadRequest

CUSTOMERS = 1 << 33  # a customer is a number below it, as the protocol has it


def customer_number(name: str) -> int:
    """The number of a customer that is known by a name: the same in every process.

    Two of 100,000 customers share a number, and so a quota, with a chance of about 1 in 2 (they are
    numbers of 33 bits); a program that has numbers of its own below 2**33 uses those.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") % CUSTOMERS


@dataclass(frozen=True, slots=True)
class Facts:
    """What is known of one request.

    cls: the name of its class. customer: its number below 2**33, or its name. plan: the plan's name.
    units: what it takes from the quota, as far as is known before its answer.
    timeout_s: how long the client waits; None: the class's deadline.
    retry: the client marks it as a retry of its own.
    first, spread: the customer's requests come through `spread` ingresses from number `first` on, counted
        round; spread 0: through all.
    request_id: what nodes know it by; one is made if it is empty. key: of a keyed request, made likewise.
    """

    cls: str
    customer: int | str
    plan: str
    units: float = 1.0
    timeout_s: float | None = None
    retry: bool = False
    first: int = 0
    spread: int = 0
    request_id: str = ""
    key: str = ""


class FactsReader:
    """Checks facts against the settings."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {c.name: (number, c) for number, c in enumerate(settings.classes)}
        self._plans = {p.name: number for number, p in enumerate(settings.plans)}
        self._gateways, self._most_units = settings.gateways, settings.most_units

    def request_class(self, name: str) -> tuple[int, RequestClass]:
        """Number and class of that name; BadRequest if there is none."""
        found = self.classes.get(name)
        if found is None:
            raise BadRequest(404, "no such class of requests")
        return found

    def arrival(self, facts: Facts) -> RequestArrived:
        """The facts as the decision module is told them; BadRequest if any makes no sense."""
        number, cls = self.request_class(facts.cls)
        plan = self._plans.get(facts.plan)
        if plan is None:
            raise BadRequest(400, "no such plan")
        customer = customer_number(facts.customer) if isinstance(facts.customer, str) else facts.customer
        if not 0 <= customer < CUSTOMERS:
            raise BadRequest(400, "customer out of range")
        width = facts.spread or self._gateways
        timeout_ms = cls.deadline_ms if facts.timeout_s is None else facts.timeout_s * 1000
        if not (
            0 < timeout_ms < 1e9
            and 0 < facts.units <= self._most_units
            and 1 <= width <= self._gateways
            and 0 <= facts.first < self._gateways
        ):
            # a figure that no request has would move what the gateway learns of a customer, and of all work
            raise BadRequest(400, "time-out, units or the customer's ingresses are out of range")
        return RequestArrived(
            0, customer, plan, number, facts.units, facts.first, width, timeout_ms, facts.retry
        )
