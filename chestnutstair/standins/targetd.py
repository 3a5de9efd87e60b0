"""Runs a target stand-in as a process until SIGTERM or SIGINT."""

from chestnutstair.standins.process import print_addresses, read_arguments
from chestnutstair.standins.target import Target, TargetSettings
from chestnutstair.standins.webserver import catch_stop_signals

__all__ = ["main"]


def main() -> None:
    """Print the addresses as JSON, and serve until SIGTERM or SIGINT."""
    port, settings = read_arguments(TargetSettings)
    target = Target(settings, port)
    target.start()
    stopped = catch_stop_signals()
    print_addresses(
        address=target.address, control_address=target.control_address
    )
    stopped.wait()
    target.stop()


if __name__ == "__main__":
    main()
