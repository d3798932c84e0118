"""Converts the operator's gRPC section into the options of the gRPC component."""

from __future__ import annotations

from troutdock.admission.interface import Settings
from troutdock.address import parse_address
from troutdock.grpc.methods import MethodType, MethodTable, MethodRule
from troutdock.grpc.request import MetadataNames
from troutdock.grpc.service import GrpcOptions
from troutdock.operator.model import GrpcSection


def grpc_options(section: GrpcSection, settings: Settings) -> GrpcOptions:
    """Returns the gRPC options; raises ValueError for a method row that contradicts the settings."""
    rows = tuple(MethodRule(row.path, row.cls, MethodType(row.kind), row.units) for row in section.methods)
    MethodTable(rows, settings)
    names = MetadataNames(*(str(name).encode() for name in section.metadata.model_dump().values()))
    return GrpcOptions(
        rows,
        names,
        parse_address(section.listen) if section.listen else None,
        tuple(map(parse_address, section.nodes)),
        section.most_message_kb * 1024,
    )
