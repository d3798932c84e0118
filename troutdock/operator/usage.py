"""From the operator's section to the ledger's terms."""

from __future__ import annotations

from troutdock.operator.model import UsageSection
from troutdock.usage.ledger import Promise
from troutdock.usage.service import UsageOptions


def terms_of(section: UsageSection) -> UsageOptions:
    """In the ledger's units."""
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
