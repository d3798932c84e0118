"""The settings of an operator's file, with units, defaults and bounds; see deploy/operator.example.yaml."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from troutdock.address import parse_address

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Exports(_Section):
    """Exported usage files.

    every_s: interval between exports, 0 for never. rows: maximum per file. keep_days: retention of
    acknowledged exports.
    """

    every_s: Annotated[float, Field(ge=0, le=86_400)] = 60.0
    rows: Annotated[int, Field(ge=1, le=10_000_000)] = 100_000
    keep_days: Annotated[float, Field(ge=0, le=3650)] = 7.0
    most_mb: Annotated[float, Field(gt=0)] = 1024.0
    deliver_to: str = ""

    @field_validator("deliver_to")
    @classmethod
    def _http(cls, url: str) -> str:
        if url and not url.startswith("http://"):
            raise ValueError("not an http:// URL of a folder")
        return url


class UsageSection(_Section):
    """The usage ledger. at_risk_ms: with `bounded`, a crash may lose the records of this last period."""

    promise: Literal["sync", "bounded", "memory"] = "sync"
    folder: Path | None = None
    at_risk_ms: Annotated[float, Field(ge=5, le=10_000)] = 50.0
    exports: Exports = Exports()

    @field_validator("folder", mode="before")
    @classmethod
    def _path(cls, raw: object) -> object:
        return Path(raw) if isinstance(raw, str) and raw else raw

    @model_validator(mode="after")
    def _placed(self) -> UsageSection:
        if self.promise != "memory" and self.folder is None:
            raise ValueError(f"promise {self.promise} needs a folder")
        return self


class PlansSection(_Section):
    """Assignments of plans.

    file: JSON lines as `troutdock plans` writes them; checked for changes every reread_s seconds.
    """

    file: Path
    reread_s: Annotated[float, Field(ge=0.05, le=3600)] = 1.0

    @field_validator("file", mode="before")
    @classmethod
    def _path(cls, raw: object) -> object:
        return Path(raw) if isinstance(raw, str) and raw else raw


class ReservationsSection(_Section):
    """Reserved quota. file: the entries. folder: this gateway's shares, on a persistent disk.

    fleet_units_per_s: known capacity of the fleet, of which a part may be reserved; the observed throughput
    counts instead if it is higher.
    """

    file: Path
    folder: Path
    reread_s: Annotated[float, Field(ge=0.05, le=3600)] = 1.0
    fleet_units_per_s: Annotated[float, Field(ge=0, le=1e9)] = 0.0

    @field_validator("file", "folder", mode="before")
    @classmethod
    def _path(cls, raw: object) -> object:
        return Path(raw) if isinstance(raw, str) and raw else raw


class MethodRow(_Section):
    """The request class of a method's calls. units: for calls whose metadata give none."""

    path: Annotated[str, Field(pattern=r"^(\*|/[^/]+/[^/]+)$")]
    cls: Annotated[str, Field(alias="class")]
    kind: Literal["unary", "server-streaming", "client-streaming", "bidirectional"] = "unary"
    units: Annotated[float, Field(ge=0)] = 0.0


class MetadataNames(_Section):
    """Names of the metadata that the gateway reads from calls."""

    account: Name = "account"
    plan: Name = "plan"
    quota: Name = "quota-info"
    id: Name = "request-id"
    key: Name = "idempotency-key"
    retry: Name = "client-retry"

    @field_validator("*")
    @classmethod
    def _lower(cls, name: str) -> str:
        if name != name.lower():
            raise ValueError(f"{name!r}: names of metadata must be in lower case")
        return name


class GrpcSection(_Section):
    """gRPC in addition to HTTP/1.1.

    listen: a separate address for gRPC clients. nodes: a fixed list; if empty, the platform's nodes.
    """

    methods: Annotated[list[MethodRow], Field(min_length=1)]
    metadata: MetadataNames = MetadataNames()
    listen: str = ""
    nodes: list[str] = []
    most_message_kb: Annotated[int, Field(ge=1, le=256 * 1024)] = 4096

    @field_validator("listen")
    @classmethod
    def _address(cls, text: str) -> str:
        if text:
            parse_address(text)
        return text

    @field_validator("nodes")
    @classmethod
    def _addresses(cls, texts: list[str]) -> list[str]:
        for text in texts:
            parse_address(text)
        return texts


class OperatorFile(_Section):
    """The whole file; a component without a section is disabled."""

    usage: UsageSection | None = None
    plans: PlansSection | None = None
    reservations: ReservationsSection | None = None
    grpc: GrpcSection | None = None
