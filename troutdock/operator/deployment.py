"""A whole deployment in one YAML file, for `troutdock serve`: its model, with units, defaults and bounds."""

from __future__ import annotations

from difflib import get_close_matches
from typing import Annotated, Any, Literal, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from troutdock.address import parse_address
from troutdock.operator.yaml_tree import Keys, Problem, Tree, named

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$", description="letters, digits, `_`, `.`, `-`")]
Address = Annotated[str, Field(description="host:port")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


def _address(text: str) -> str:
    parse_address(text)
    return text


class ClassSection(_Section):
    """A kind of request.

    effect: of running one twice. aim_ms: answers within it count in full. deadline_ms: of one that names no
    time-out. window_ms: how long nodes know a key.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Annotated[float, Field(gt=0)] = 1000.0
    deadline_ms: Annotated[float, Field(gt=0)] = 5000.0
    worth: Annotated[float, Field(ge=0)] = 1.0
    window_ms: Annotated[float, Field(ge=0)] = 0.0


class PlanSection(_Section):
    """What a customer may use: units a second, and at once; 0 for no limit. Beyond the ceiling nothing."""

    rate: Annotated[float, Field(ge=0)]
    burst: Annotated[float, Field(ge=0)]
    price: Annotated[float, Field(ge=0)] = 1.0
    ceiling_rate: Annotated[float, Field(ge=0)] = 0.0
    ceiling_burst: Annotated[float, Field(ge=0)] = 0.0


class PoolSection(_Section):
    """Servers that do the same. connect_ms: until a connection is up. idle_s: they close it then."""

    servers: list[Address]
    connect_ms: Annotated[float, Field(gt=0, le=60_000)] = 250.0
    idle_s: Annotated[float, Field(gt=0, le=3600)] = 15.0

    @field_validator("servers")
    @classmethod
    def _addresses(cls, texts: list[str]) -> list[str]:
        return [_address(text) for text in texts]


class GrpcMatch(_Section):
    """A gRPC service, and one of its methods; all of them without."""

    service: str
    method: str = ""


class ValueMatch(_Section):
    """One of these."""

    prefix: str | None = None
    pattern: str | None = None
    present: bool | None = None

    @model_validator(mode="after")
    def _one(self) -> ValueMatch:
        if sum(value is not None for value in (self.prefix, self.pattern, self.present)) != 1:
            raise ValueError("one of prefix, pattern, present")
        return self


class Match(_Section):
    """What a request has to be. path, prefix, pattern: at least one; a request that fits one of them fits."""

    hosts: list[str] = []
    path: str | None = None
    prefix: str | None = None
    pattern: str | None = None
    grpc: GrpcMatch | None = None
    methods: list[Annotated[str, Field(pattern=r"^[A-Z]+$")]] = []
    headers: dict[str, str | ValueMatch] = {}
    query: dict[str, str | ValueMatch] = {}


class PartSection(_Section):
    """A pool's part."""

    pool: str
    weight: Annotated[float, Field(ge=0)] = 1.0


class MirrorSection(_Section):
    """A pool that gets copies of so many percent of what is safe."""

    pool: str
    percent: Annotated[float, Field(gt=0, le=100)]


class RewriteSection(_Section):
    """prefix: in place of what path or prefix matched. set, remove: headers, names written small."""

    prefix: str | None = None
    set: dict[str, str] = {}
    remove: list[str] = []


class RouteSection(_Section):
    """cls: of its requests. to: a pool, or several by weight; a customer keeps its part."""

    name: Name
    match: Match
    cls: Annotated[str, Field(alias="class")]
    to: str | Annotated[list[PartSection], Field(min_length=1)]
    mirror: list[MirrorSection] = []
    rewrite: RewriteSection = RewriteSection()


class CustomersSection(_Section):
    """Headers that tell whose a request is, its plan and units. default_plan: of those that name none."""

    account: str = "account"
    plan: str = "plan"
    units: str = "units"
    default_plan: str = ""


class LimitsSection(_Section):
    """sockets: of the process. attempts: of one request. most_units: of one request."""

    sockets: Annotated[int, Field(ge=64)] = 1024
    memory_mb: Annotated[float, Field(ge=24)] = 128.0
    attempts: Annotated[int, Field(ge=1, le=10)] = 3
    most_units: Annotated[float, Field(gt=0)] = 100.0


class DeploymentFile(_Section):
    """listen: of clients. management: the operators' door, none if empty. include: files joined in."""

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


def validated(tree: Tree) -> DeploymentFile | None:
    """The file, or None with all that is wrong added to the tree's problems."""
    if tree.problems:
        return None
    rows = tree.value.get("routes")
    if not isinstance(rows, list) or not rows:
        return _checked(tree, DeploymentFile, tree.value, ())
    # one by one: a call of the library holds the interpreter, which a loop beside it needs as well
    routes = [_checked(tree, RouteSection, row, ("routes", number)) for number, row in enumerate(rows)]
    whole = _checked(tree, DeploymentFile, {**tree.value, "routes": rows[:1]}, ())
    if tree.problems or whole is None:
        return None
    return whole.model_copy(update={"routes": routes})


Model = TypeVar("Model", bound=_Section)


def _checked(tree: Tree, model: type[Model], value: object, above: Keys) -> Model | None:
    """The value as this model, or None with all that is wrong added to the tree's problems."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        for one in error.errors():
            inner: Keys = tuple(k for k in one["loc"] if not _of_union(k))
            keys, said = (*above, *inner), one["msg"].removeprefix("Value error, ")
            if one["type"] == "extra_forbidden":
                said = "no such key" + nearest(str(keys[-1]), _keys_at(model, inner[:-1]))
            elif one["type"] == "literal_error":
                said = f"not one of {one['ctx']['expected']}"
            problem = Problem(tree.place(keys), named(keys), said)
            if problem not in tree.problems:
                tree.problems.append(problem)
        return None


def nearest(name: str, known: list[str]) -> str:
    """A word on the known name that is most like it, or on all if they are few."""
    found = get_close_matches(name, known, 1, 0.6)
    if found:
        return f"; is {found[0]!r} meant?"
    return f"; there are {', '.join(known)}" if 0 < len(known) <= 12 else ""


def _of_union(key: str | int) -> bool:
    """pydantic names the member of a union that it tried, which no file has."""
    return isinstance(key, str) and (key in ("str", "ValueMatch") or key.startswith(("list[", "function-")))


def _keys_at(model: Any, keys: Keys) -> list[str]:
    """The keys that may stand there."""
    for key in keys:
        fields = getattr(model, "model_fields", None)
        if fields is not None:
            found = next((f for name, f in fields.items() if key in (name, f.alias)), None)
            model = None if found is None else found.annotation
        else:
            model = _inner(model)
        while get_origin(model) in (Annotated, Union) or type(model).__name__ == "UnionType":
            parts = get_args(model)
            model = next((a for a in parts if hasattr(a, "model_fields") or get_origin(a)), None)
    fields = getattr(model, "model_fields", None) or {}
    return [f.alias or name for name, f in fields.items()]


def _inner(kind: Any) -> Any:
    """What stands in a list or a mapping."""
    return get_args(kind)[-1] if get_args(kind) else None


def schema() -> dict[str, Any]:
    """JSON Schema of a file, for editors."""
    made = DeploymentFile.model_json_schema(by_alias=True)
    made["properties"]["include"] = {"type": "array", "items": {"type": "string"}, "description": "joined in"}
    made["title"] = "troutdock deployment"
    return {"$schema": "https://json-schema.org/draft/2020-12/schema", **made}
