"""Services of the platform: configuration, discovery, the shared counter, the clock."""
