"""Who else is there: the way of a digest from one ingress to the others."""
