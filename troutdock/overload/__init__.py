"""Overload of the ingress itself: event loop lag, load shedding switches, detection of retry storms."""
