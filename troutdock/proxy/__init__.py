"""The proxy of the whole gateway, on troutdock's engine, front and transport."""
