"""Request processing from arrival to final answer, independent of sockets, protocols and event loops."""

from troutdock.engine.attempt import Attempt
from troutdock.engine.engine import Call, Engine, Failure, Tally
from troutdock.engine.ports import (
    Answer,
    Clock,
    Counter,
    Exchange,
    FleetListener,
    Flow,
    Ledger,
    PlanBook,
    Reports,
    StreamingExchange,
    Timer,
    Timers,
    Transport,
)
from troutdock.engine.request import BadRequest, ProtocolTraits, Request

__all__ = [
    "Answer",
    "Attempt",
    "BadRequest",
    "Call",
    "Clock",
    "Counter",
    "Engine",
    "Exchange",
    "Failure",
    "FleetListener",
    "Flow",
    "Ledger",
    "PlanBook",
    "ProtocolTraits",
    "Reports",
    "Request",
    "StreamingExchange",
    "Tally",
    "Timer",
    "Timers",
    "Transport",
]
