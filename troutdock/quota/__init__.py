"""Quotas over the whole fleet: one token bucket a tenant, and leases of its tokens (no I/O, no clock).

A quota is kept by one *owner* among all proxies. The others lease tokens from it as requests come, spend them
at once, and hand back what they don't use. `node.QuotaNode` is the state machine of one proxy; `leases` is
what the decision module talks to. Theory of operation and the proof of the bound: `node`'s head and
docs/design/quotas.md. Times are seconds of the proxy's own steady clock.
"""
