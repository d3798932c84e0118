"""The usage ledger and its exports; loaded only if the operator's file enables it."""
