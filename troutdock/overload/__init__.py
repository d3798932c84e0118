"""What the ingress makes of its own limits: how late it is, whom it turns away then, and for how long."""
