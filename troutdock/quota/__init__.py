"""Fleet-wide quotas: one token bucket for each tenant, whose tokens are leased to proxies (no I/O, no clock).

A single *owner* among all proxies keeps the bucket of a tenant. The other proxies lease tokens from it when
requests arrive, spend them at once, and return those that they don't use. `node.QuotaNode` is the state
machine of one proxy; the decision module uses `leases`. The theory of operation and the proof of the bound
are in the docstring of `node` and in docs/design/quotas.md. Times are seconds of the proxy's own monotonic
clock.
"""
