"""Fakes of the systems around a fleet (stand-ins), for demo and tests."""
