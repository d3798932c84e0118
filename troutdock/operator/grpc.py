"""From the operator's section to gRPC's terms."""

from __future__ import annotations

from troutdock.admission.interface import Settings
from troutdock.address import parse_address
from troutdock.grpc.methods import Kind, Methods, Row
from troutdock.grpc.request import Names
from troutdock.grpc.service import Terms
from troutdock.operator.model import GrpcSection


def terms_of(section: GrpcSection, settings: Settings) -> Terms:
    """In gRPC's words; ValueError names a row that does not fit the settings."""
    rows = tuple(Row(row.path, row.cls, Kind(row.kind), row.units) for row in section.methods)
    Methods(rows, settings)
    names = Names(*(str(name).encode() for name in section.metadata.model_dump().values()))
    return Terms(
        rows,
        names,
        parse_address(section.listen) if section.listen else None,
        tuple(map(parse_address, section.nodes)),
        section.most_message_kb * 1024,
    )
