"""Runs the platform stand-in as a process until SIGTERM or SIGINT."""

from chestnutstair.standins.platform import Platform, PlatformSettings
from chestnutstair.standins.process import print_addresses, read_arguments
from chestnutstair.standins.webserver import catch_stop_signals

__all__ = ["main"]


def main() -> None:
    """Print the address as JSON, and serve until SIGTERM or SIGINT."""
    port, settings = read_arguments(PlatformSettings)
    platform = Platform(settings, port)
    platform.start()
    stopped = catch_stop_signals()
    print_addresses(address=platform.address)
    stopped.wait()
    platform.stop()


if __name__ == "__main__":
    main()
