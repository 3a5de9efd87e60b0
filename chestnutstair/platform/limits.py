"""The platform's names for the limits of a VM."""

__all__ = ["DESCRIPTORS_NAME", "MEMORY_NAME"]

MEMORY_NAME = "memoryMb"
DESCRIPTORS_NAME = "maxFds"
