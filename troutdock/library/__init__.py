"""An ingress inside the program's own process: `async with Ingress(deployment)`, `await ingress.call(...)`.

It runs in the program's event loop, installs no signal handlers, doesn't configure logging, and has no
dependencies beyond those of the daemon.
"""

from troutdock.engine import BadRequest, Failure, Tally
from troutdock.library.deployment import Deployment
from troutdock.library.facts import Facts, customer_number
from troutdock.library.local import Failed, Ingress, IngressClosed, Refused, Request, Result, Served
from troutdock.library.shared import DeploymentInUse
from troutdock.platform.config import ConfigError

__all__ = [
    "BadRequest",
    "ConfigError",
    "Deployment",
    "DeploymentInUse",
    "Facts",
    "Failed",
    "Failure",
    "Ingress",
    "IngressClosed",
    "Refused",
    "Request",
    "Result",
    "Served",
    "Tally",
    "customer_number",
]
