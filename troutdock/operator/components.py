"""Creates the components that the operator's file enables; modules of other components aren't imported."""

from __future__ import annotations

from typing import Any

from troutdock.admission.interface import Settings
from troutdock.operator.model import OperatorFile
from troutdock.operator.reader import OperatorError


def create_components(ingress: str, file: OperatorFile, settings: Settings) -> list[Any]:
    """Returns the enabled components in the order in which they start.

    Args:
        ingress: the name of this ingress.
        file: the operator's file.
        settings: settings of the deployment, which some sections must match.

    Raises:
        OperatorError: a file can't be read, or a library is not installed.
        OSError: a store can't be opened.
    """
    components: list[Any] = []
    try:
        if file.plans is not None:
            from troutdock.plans.service import Plans

            components.append(Plans(file.plans.file, file.plans.reread_s))
        if (reserved := file.reservations) is not None:
            from troutdock.reservations.service import ReservationOptions, Reservations

            components.append(
                Reservations(
                    ReservationOptions(
                        reserved.file, reserved.folder, reserved.reread_s, reserved.fleet_units_per_s
                    )
                )
            )
        if file.grpc is not None:
            from troutdock.grpc.service import GrpcComponent
            from troutdock.operator.grpc import grpc_options

            components.append(GrpcComponent(grpc_options(file.grpc, settings)))
        if file.usage is not None:
            from troutdock.operator.usage import usage_options
            from troutdock.usage.store import StoreError
            from troutdock.usage.service import Usage

            try:
                components.append(Usage(ingress, usage_options(file.usage)))
            except StoreError as error:
                raise OSError(str(error)) from error
    except ImportError as error:
        raise OperatorError(
            f"a section needs an optional dependency: {error.name} is not installed"
        ) from error
    except ValueError as error:
        raise OperatorError(str(error)) from error
    return components
