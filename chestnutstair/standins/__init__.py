"""Small stand-ins for the systems around a fleet, for demo and tests."""
