"""From an operator's file to what runs beside the ingress; each part is loaded only where it is asked for."""

from __future__ import annotations

from typing import Any

from troutdock.admission.interface import Settings
from troutdock.operator.model import OperatorFile
from troutdock.operator.reader import OperatorError


def parts_of(ingress: str, file: OperatorFile, settings: Settings) -> list[Any]:
    """In the order in which they start; settings: of the deployment, which a section may have to fit.

    OperatorError names a file that can't be read, or a library that is missing.

    OSError where a store can't be had.
    """
    parts: list[Any] = []
    try:
        if file.plans is not None:
            from troutdock.plans.service import Plans

            parts.append(Plans(file.plans.file, file.plans.reread_s))
        if (kept := file.reservations) is not None:
            from troutdock.reservations.service import ReservationOptions, Reservations

            parts.append(
                Reservations(
                    ReservationOptions(kept.file, kept.folder, kept.reread_s, kept.fleet_units_per_s)
                )
            )
        if file.grpc is not None:
            from troutdock.grpc.service import GrpcComponent
            from troutdock.operator.grpc import terms_of as grpc_terms_of

            parts.append(GrpcComponent(grpc_terms_of(file.grpc, settings)))
        if file.usage is not None:
            from troutdock.operator.usage import terms_of
            from troutdock.usage.store import StoreError
            from troutdock.usage.service import Usage

            try:
                parts.append(Usage(ingress, terms_of(file.usage)))
            except StoreError as error:
                raise OSError(str(error)) from error
    except ImportError as error:
        raise OperatorError(f"a section needs an extra of its own: {error.name} is not installed") from error
    except ValueError as error:
        raise OperatorError(str(error)) from error
    return parts
