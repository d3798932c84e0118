"""Small applications that use troutdock."""
