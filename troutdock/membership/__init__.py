"""Membership: digests between the ingresses, and the schedule of discovery calls."""
