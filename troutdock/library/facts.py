"""The inputs of an admission decision: customer, class, units and time-out of a request."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from troutdock.admission.interface import RequestArrived, RequestClass, Settings
from troutdock.engine import BadRequest

CUSTOMER_NUMBER_LIMIT = 1 << 33  # customer numbers are below this limit, as in the protocol


def customer_number(name: str) -> int:
    """Hashes a customer's name to its number; the result is the same in every process.

    Among 100,000 customers, the probability that two share a number, and so a quota, is about 1 in 2 (the
    numbers have 33 bits). A program that has its own numbers below 2**33 should use those.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big") % CUSTOMER_NUMBER_LIMIT


@dataclass(frozen=True, slots=True)
class Facts:
    """The properties of one request.

    cls: name of its class. customer: a number below 2**33, or a name. plan: name of the plan.
    units: estimated use of the quota, as known before the response.
    timeout_s: the client's time-out; None: the deadline of the class.
    retry: the client marked the request as a retry.
    first, spread: the customer's requests arrive through `spread` ingresses, starting with index `first`,
        modulo the number of ingresses; spread 0: through all.
    request_id: id that is sent to nodes; generated if empty. key: idempotency key of a keyed request;
        generated if empty.
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


class FactsValidator:
    """Validates facts against the settings."""

    def __init__(self, settings: Settings) -> None:
        self.classes = {c.name: (number, c) for number, c in enumerate(settings.classes)}
        self._plans = {p.name: number for number, p in enumerate(settings.plans)}
        self._gateways, self._most_units = settings.gateways, settings.most_units

    def request_class(self, name: str) -> tuple[int, RequestClass]:
        """Returns the index and the class of this name; raises BadRequest if there is none."""
        found = self.classes.get(name)
        if found is None:
            raise BadRequest(404, "no such class of requests")
        return found

    def arrival(self, facts: Facts) -> RequestArrived:
        """Converts the facts into the event of the decision module; raises BadRequest if any is invalid."""
        number, cls = self.request_class(facts.cls)
        plan = self._plans.get(facts.plan)
        if plan is None:
            raise BadRequest(400, "no such plan")
        customer = customer_number(facts.customer) if isinstance(facts.customer, str) else facts.customer
        if not 0 <= customer < CUSTOMER_NUMBER_LIMIT:
            raise BadRequest(400, "customer out of range")
        width = facts.spread or self._gateways
        timeout_ms = cls.deadline_ms if facts.timeout_s is None else facts.timeout_s * 1000
        if not (
            0 < timeout_ms < 1e9
            and 0 < facts.units <= self._most_units
            and 1 <= width <= self._gateways
            and 0 <= facts.first < self._gateways
        ):
            # An invalid value would distort the gateway's estimates for this customer and for the total load.
            raise BadRequest(400, "time-out, units or the customer's ingresses are out of range")
        return RequestArrived(
            0, customer, plan, number, facts.units, facts.first, width, timeout_ms, facts.retry
        )
