"""Converts the operator's usage section into the options of the usage component."""

from __future__ import annotations

from troutdock.operator.model import UsageSection
from troutdock.usage.ledger import Promise
from troutdock.usage.service import UsageOptions


def usage_options(section: UsageSection) -> UsageOptions:
    """Returns the options in the ledger's units: seconds and bytes."""
    exports = section.exports
    return UsageOptions(
        Promise(section.promise),
        section.folder,
        section.at_risk_ms,
        exports.every_s,
        exports.rows,
        exports.deliver_to,
        exports.keep_days * 86_400,
        int(exports.most_mb * (1 << 20)),
    )
