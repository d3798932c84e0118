"""The model of a deployment file (YAML) for `troutdock serve`, with units, defaults and bounds."""

from __future__ import annotations

from difflib import get_close_matches
from typing import Annotated, Any, Literal, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from troutdock.address import parse_address
from troutdock.operator.yaml_tree import Keys, Problem, Tree, format_keys

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$", description="letters, digits, `_`, `.`, `-`")]
Address = Annotated[str, Field(description="host:port")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def _address(text: str) -> str:
    parse_address(text)
    return text


class ClassSection(_Section):
    """A class of requests.

    effect: whether a request may run twice. aim_ms: latency target; faster answers count in full.
    deadline_ms: for a request without a time-out of its own. worth: priority weight.
    window_ms: how long nodes remember an idempotency key.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Annotated[float, Field(gt=0)] = 1000.0
    deadline_ms: Annotated[float, Field(gt=0)] = 5000.0
    worth: Annotated[float, Field(ge=0)] = 1.0
    window_ms: Annotated[float, Field(ge=0)] = 0.0


class PlanSection(_Section):
    """A customer's quota: units per second and burst, 0 for no limit. Use never exceeds the ceiling."""

    rate: Annotated[float, Field(ge=0)]
    burst: Annotated[float, Field(ge=0)]
    price: Annotated[float, Field(ge=0)] = 1.0
    ceiling_rate: Annotated[float, Field(ge=0)] = 0.0
    ceiling_burst: Annotated[float, Field(ge=0)] = 0.0


class PoolSection(_Section):
    """Equivalent servers. connect_ms: connect time-out. idle_s: after it servers close idle connections."""

    servers: list[Address]
    connect_ms: Annotated[float, Field(gt=0, le=60_000)] = 250.0
    idle_s: Annotated[float, Field(gt=0, le=3600)] = 15.0

    @field_validator("servers")
    @classmethod
    def _addresses(cls, texts: list[str]) -> list[str]:
        return [_address(text) for text in texts]


class GrpcMatch(_Section):
    """A gRPC service and one of its methods, or all methods if none is given."""

    service: str
    method: str = ""


class ValueMatch(_Section):
    """A condition on a header or query value; exactly one field is set."""

    prefix: str | None = None
    pattern: str | None = None
    present: bool | None = None

    @model_validator(mode="after")
    def _one(self) -> ValueMatch:
        if sum(value is not None for value in (self.prefix, self.pattern, self.present)) != 1:
            raise ValueError("one of prefix, pattern, present")
        return self


class Match(_Section):
    """Conditions on a request. At least one of path, prefix and pattern; a request must match one of them."""

    hosts: list[str] = []
    path: str | None = None
    prefix: str | None = None
    pattern: str | None = None
    grpc: GrpcMatch | None = None
    methods: list[Annotated[str, Field(pattern=r"^[A-Z]+$")]] = []
    headers: dict[str, str | ValueMatch] = {}
    query: dict[str, str | ValueMatch] = {}


class PartSection(_Section):
    """A pool and its weight in a traffic split."""

    pool: str
    weight: Annotated[float, Field(ge=0)] = 1.0


class MirrorSection(_Section):
    """A pool that receives copies of a percentage of the safe requests."""

    pool: str
    percent: Annotated[float, Field(gt=0, le=100)]


class RewriteSection(_Section):
    """prefix: replaces the matched path or prefix. set, remove: headers, with names in lower case."""

    prefix: str | None = None
    set: dict[str, str] = {}
    remove: list[str] = []


class RouteSection(_Section):
    """cls: class of the requests. to: a pool, or several by weight; a customer always gets the same pool."""

    name: Name
    match: Match
    cls: Annotated[str, Field(alias="class")]
    to: str | Annotated[list[PartSection], Field(min_length=1)]
    mirror: list[MirrorSection] = []
    rewrite: RewriteSection = RewriteSection()


class CustomersSection(_Section):
    """Headers with a request's account, plan and units. default_plan: for requests that name no plan."""

    account: str = "account"
    plan: str = "plan"
    units: str = "units"
    default_plan: str = ""


class LimitsSection(_Section):
    """sockets: per process. attempts, most_units: per request."""

    sockets: Annotated[int, Field(ge=64)] = 1024
    memory_mb: Annotated[float, Field(ge=24)] = 128.0
    attempts: Annotated[int, Field(ge=1, le=10)] = 3
    most_units: Annotated[float, Field(gt=0)] = 100.0


class DeploymentFile(_Section):
    """listen: client address. management: management address, none if empty. include: files to merge."""

    version: Literal[1]
    name: Name = "troutdock"
    listen: Address
    management: str = ""
    classes: Annotated[dict[Name, ClassSection], Field(min_length=1)]
    plans: Annotated[dict[Name, PlanSection], Field(min_length=1)]
    pools: Annotated[dict[Name, PoolSection], Field(min_length=1)]
    routes: Annotated[list[RouteSection], Field(min_length=1)]
    customers: CustomersSection = CustomersSection()
    limits: LimitsSection = LimitsSection()

    @field_validator("listen", "management")
    @classmethod
    def _addresses(cls, text: str) -> str:
        return _address(text) if text else text


def validate(tree: Tree) -> DeploymentFile | None:
    """Returns the file, or None; every problem is added to the tree."""
    if tree.problems:
        return None
    rows = tree.value.get("routes")
    if not isinstance(rows, list) or not rows:
        return _validate_model(tree, DeploymentFile, tree.value, ())
    # One route at a time: a call of pydantic holds the GIL, which an event loop in another thread needs too.
    routes = [_validate_model(tree, RouteSection, row, ("routes", number)) for number, row in enumerate(rows)]
    file = _validate_model(tree, DeploymentFile, {**tree.value, "routes": rows[:1]}, ())
    if tree.problems or file is None:
        return None
    return file.model_copy(update={"routes": routes})


Model = TypeVar("Model", bound=_Section)


def _validate_model(tree: Tree, model: type[Model], value: object, parent: Keys) -> Model | None:
    """Returns the value as this model, or None; every problem is added to the tree."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        for detail in error.errors():
            inner: Keys = tuple(k for k in detail["loc"] if not _is_union_member(k))
            keys, message = (*parent, *inner), detail["msg"].removeprefix("Value error, ")
            if detail["type"] == "extra_forbidden":
                message = "no such key" + suggestion(str(keys[-1]), _allowed_keys(model, inner[:-1]))
            elif detail["type"] == "literal_error":
                message = f"not one of {detail['ctx']['expected']}"
            problem = Problem(tree.location(keys), format_keys(keys), message)
            if problem not in tree.problems:
                tree.problems.append(problem)
        return None


def suggestion(name: str, known: list[str]) -> str:
    """Returns a hint with the most similar known name, or with all known names if they are few."""
    matches = get_close_matches(name, known, 1, 0.6)
    if matches:
        return f"; is {matches[0]!r} meant?"
    return f"; there are {', '.join(known)}" if 0 < len(known) <= 12 else ""


def _is_union_member(key: str | int) -> bool:
    """Whether the key is a union member that pydantic tried; such keys are in the error, not in the file."""
    return isinstance(key, str) and (key in ("str", "ValueMatch") or key.startswith(("list[", "function-")))


def _allowed_keys(model: Any, keys: Keys) -> list[str]:
    """Returns the keys that are allowed at this position."""
    for key in keys:
        fields = getattr(model, "model_fields", None)
        if fields is not None:
            found = next((f for name, f in fields.items() if key in (name, f.alias)), None)
            model = None if found is None else found.annotation
        else:
            model = _element_type(model)
        while get_origin(model) in (Annotated, Union) or type(model).__name__ == "UnionType":
            parts = get_args(model)
            model = next((a for a in parts if hasattr(a, "model_fields") or get_origin(a)), None)
    fields = getattr(model, "model_fields", None) or {}
    return [f.alias or name for name, f in fields.items()]


def _element_type(kind: Any) -> Any:
    """Returns the type of the elements of a list, or of the values of a mapping."""
    return get_args(kind)[-1] if get_args(kind) else None


def schema() -> dict[str, Any]:
    """Returns the JSON Schema of a deployment file, for editors."""
    json_schema = DeploymentFile.model_json_schema(by_alias=True)
    json_schema["properties"]["include"] = {
        "type": "array",
        "items": {"type": "string"},
        "description": "files to merge",
    }
    json_schema["title"] = "troutdock deployment"
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **json_schema}
