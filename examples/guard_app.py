"""A FastAPI application in guard mode: troutdock admits or refuses its requests.

uvicorn examples.guard_app:app
curl -i localhost:8000/ledger-read/7 -H 'X-Customer: acme' -H 'X-Plan: basis'
"""

from __future__ import annotations

from fastapi import FastAPI, Request

from troutdock.admission.interface import Effect, Plan, RequestClass
from troutdock.asgi import GuardMiddleware
from troutdock.asgi.types import Scope
from troutdock.library import Deployment, Facts

DEPLOYMENT = Deployment.of(
    "ledger",
    classes=[
        RequestClass(name="ledger-read", aim_ms=1500, deadline_ms=4000, worth=2, effect=Effect.SAFE),
        RequestClass(name="vat-filing", aim_ms=750, deadline_ms=1500, worth=5, effect=Effect.UNSAFE),
    ],
    plans=[Plan(name="basis", rate=1, burst=4), Plan(name="plus", rate=20, burst=40)],
)


def facts(scope: Scope) -> Facts | None:
    """Returns the facts from this application's own headers; requests without a customer are not counted."""
    headers = dict(scope["headers"])
    customer = headers.get(b"x-customer", b"").decode("latin-1")
    if not customer:
        return None
    plan = headers.get(b"x-plan", b"basis").decode("latin-1")
    return Facts(cls=scope["path"].split("/")[1], customer=customer, plan=plan)


app = FastAPI()
app.add_middleware(GuardMiddleware, deployment=DEPLOYMENT, paths=["/ledger-read", "/vat-filing"], facts=facts)


@app.get("/ledger-read/{entry}")
async def read(entry: int) -> dict[str, int]:
    return {"entry": entry}


@app.post("/vat-filing/{quarter}")
async def file(quarter: int, request: Request) -> dict[str, int]:
    body = await request.body()
    request.scope["troutdock"].units = (
        1 + len(body) / 4096
    )  # the true units, known only after reading the body
    return {"quarter": quarter}
