"""The registry: which backends and ingresses there are, and the outside calls of both core programs."""
