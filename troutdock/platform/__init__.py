"""What the platform tells and offers: configuration, discovery, the counter, the time."""
