"""Example applications that use troutdock."""
