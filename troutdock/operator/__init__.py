"""The operator's file: settings beyond the platform's configuration. Loaded only if one is configured."""
