"""Routes and pools at work in the daemon: which pool a request goes to, and the pools themselves."""
