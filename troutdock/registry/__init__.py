"""The registry: discovery of backends and ingresses, and the control-plane HTTP API."""
