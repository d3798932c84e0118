"""Usage records as a Parquet file, one row per record. Importing this module loads pyarrow."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq

from troutdock.usage.store import StoreError
from troutdock.usage.record import Record, State, Use

_FIELDS: list[tuple[str, Any]] = [
    ("incarnation", pa.int64()),
    ("sequence", pa.int64()),
    ("at_ms", pa.float64()),
    ("customer", pa.int64()),
    ("plan", pa.string()),
    ("class", pa.string()),
    ("units", pa.float64()),
    ("state", pa.int8()),
]
SCHEMA = pa.schema([pa.field(name, kind, nullable=False) for name, kind in _FIELDS])


def write(path: Path, records: Sequence[Record]) -> None:
    """Writes the records to a file, in the given order."""
    columns = [
        [r.incarnation for r in records],
        [r.sequence for r in records],
        [r.use.at_ms for r in records],
        [r.use.customer for r in records],
        [r.use.plan for r in records],
        [r.use.cls for r in records],
        [r.use.units for r in records],
        [int(r.state) for r in records],
    ]
    arrays = [pa.array(column, kind) for column, (_, kind) in zip(columns, _FIELDS, strict=True)]
    pq.write_table(
        pa.Table.from_arrays(arrays, schema=SCHEMA),
        path,
        compression="zstd",
        column_encoding={"sequence": "DELTA_BINARY_PACKED", "incarnation": "DELTA_BINARY_PACKED"},
        use_dictionary=["plan", "class", "customer", "state"],
    )


def read(data: bytes, name: str) -> list[Record]:
    """Reads the records of a file; raises StoreError with its name if it is not a valid export."""
    try:
        table = pq.read_table(pa.BufferReader(data))
        if table.schema.names != SCHEMA.names:
            raise StoreError(
                f"{name}: columns {', '.join(table.schema.names)}, expected {', '.join(SCHEMA.names)}"
            )
        rows = zip(*(column.to_pylist() for column in table.cast(SCHEMA).columns), strict=True)
        return [
            Record(incarnation, sequence, Use(customer, plan, cls, units, at_ms), State(state))
            for incarnation, sequence, at_ms, customer, plan, cls, units, state in rows
        ]
    except (pa.ArrowException, ValueError, OSError) as error:
        raise StoreError(f"{name}: not a valid export: {' '.join(str(error).split())}") from error
