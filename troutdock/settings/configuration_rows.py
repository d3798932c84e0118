"""Decodes the tables of a configuration: columns and rows, validated one row at a time.

A table names its columns once and then lists rows of values in that order. Each kind of row is declared as a
Struct whose field names, in camel case, are the columns. For the columns of a given table, a Struct with
these fields in this order is derived, so that a row is decoded and validated in one step and without an
intermediate list. Only one row is decoded at a time: the memory in use does not grow with the number of rows,
apart from what the caller keeps, and a thread that decodes a long table yields to others between two rows.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Annotated, Any, Generic, NoReturn, TypeVar, cast

import msgspec
from msgspec import Meta, Raw, Struct

MIN_TIME_S = 0.001
_ERROR_PATH = re.compile(r" - at `\$(?:\[(\d+)\])?([^`]*)`$")

NonEmpty = Annotated[str, Meta(min_length=1)]
Seconds = Annotated[float, Meta(ge=MIN_TIME_S)]
NotNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=0)]
PositiveCount = Annotated[int, Meta(ge=1)]


class InvalidConfiguration(Exception):
    """A configuration is invalid. location: where, as in `routes.rows[3]`; reason: why."""

    def __init__(self, location: str, reason: str) -> None:
        super().__init__(location, reason)
        self.location, self.reason = location, reason


class SplitPart(Struct, gc=False):
    """One service of a traffic split."""

    service: NonEmpty
    weight: NotNegative


class RouteRow(Struct, rename="camel", kw_only=True):
    """A row of `routes`; times in seconds, None: left out."""

    hostname: NonEmpty
    path_prefix: NonEmpty
    route_type: NonEmpty
    timeout_s: Seconds
    name: NonEmpty | None = None
    target_latency_s: Seconds | None = None
    priority: Count | None = None
    traffic_split: list[SplitPart] | None = None
    max_attempts: PositiveCount | None = None
    public: bool | None = None
    service: NonEmpty | None = None


class ServiceRow(Struct, rename="camel", kw_only=True):
    """A row of `services`; None: left out."""

    name: NonEmpty
    health_path: NonEmpty | None = None
    max_connections: PositiveCount | None = None
    protocol: NonEmpty | None = None
    tls: bool | None = None


class TenantRow(Struct, rename="camel", kw_only=True):
    """A row of `tenants`; rate_per_s: requests per second, None: left out."""

    name: NonEmpty
    api_keys: tuple[NonEmpty, ...]
    priority: Count | None = None
    rate_per_s: NotNegative | None = None
    burst: NotNegative | None = None


_Row = TypeVar("_Row", RouteRow, ServiceRow, TenantRow)


class _Table(Struct):
    columns: list[NonEmpty]
    rows: Raw


def decode_json(data: bytes | Raw, kind: Any, location: str) -> Any:
    """Decodes JSON as a value of a type.

    Raises:
        InvalidConfiguration: It is malformed or of another type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidConfiguration(location, str(error)) from error


class TableReader(Generic[_Row]):
    """Reads the rows of one table.

    Attributes:
        location: The place of the table in the configuration.
    """

    def __init__(self, data: Raw, location: str, row_type: type[_Row]) -> None:
        """Reads the columns.

        Raises:
            InvalidConfiguration: It is no table of columns and rows.
        """
        self.location = location
        table: _Table = decode_json(data, _Table, location)
        self._rows = table.rows
        self._columns = table.columns
        if len(set(self._columns)) != len(self._columns):
            raise InvalidConfiguration(f"{location}.columns", "duplicate column name")
        self._missing = _missing_columns(row_type, self._columns)
        self._decoder = msgspec.json.Decoder(_positional_type(row_type, self._columns))

    def row_location(self, index: int) -> str:
        """Returns the place of a row, for error messages."""
        return f"{self.location}.rows[{index}]"

    def __iter__(self) -> Iterator[_Row]:
        """Yields the rows in order.

        Raises:
            InvalidConfiguration: A row is invalid.
        """
        rows: list[Raw] = decode_json(self._rows, list[Raw], f"{self.location}.rows")
        decode = self._decoder.decode
        for index in range(len(rows)):
            try:
                row = decode(rows[index])
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
                self._reject_row(index, str(error))
            if self._missing:
                raise InvalidConfiguration(self.row_location(index), f"{self._missing[0]}: must be set")
            yield cast(_Row, row)

    def _reject_row(self, index: int, problem: str) -> NoReturn:
        """Raises InvalidConfiguration with the name of the column in place of its position."""
        found = _ERROR_PATH.search(problem)
        if found is not None and found[1] is not None:
            problem = f"{self._columns[int(found[1])]}{found[2]}: {problem[: found.start()]}"
        elif problem.startswith("Expected `array`"):
            problem = f"not a list of {len(self._columns)} values"
        raise InvalidConfiguration(self.row_location(index), problem)


def _missing_columns(row_type: type[Struct], columns: list[str]) -> list[str]:
    """Returns the required columns that a table lacks; a table without rows may lack them."""
    fields = msgspec.structs.fields(row_type)
    return [field.encode_name for field in fields if field.required and field.encode_name not in columns]


def _positional_type(row_type: type[Struct], columns: list[str]) -> type[Struct]:
    """Returns the type of a row whose values stand in the order of the columns.

    Values of unknown columns are decoded and ignored. Fields without a column have their default as a class
    attribute.
    """
    known = {field.encode_name: field for field in msgspec.structs.fields(row_type)}
    positions: list[tuple[str, Any]] = []
    for position, column in enumerate(columns):
        field = known.pop(column, None)
        positions.append((field.name, field.type) if field is not None else (f"ignored_{position}", Any))
    absent = {field.name: None for field in known.values()}
    return msgspec.defstruct(
        row_type.__name__, positions, namespace=absent, array_like=True, forbid_unknown_fields=True, gc=False
    )
