"""The proxy of the system, built on troutdock's engine, HTTP frontend and transport."""
