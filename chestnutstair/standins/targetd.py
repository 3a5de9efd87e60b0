"""Runs a target stand-in as a process until SIGTERM or SIGINT."""

from chestnutstair.standins.process import print_addresses, read_arguments
from chestnutstair.standins.target import Target, TargetSettings
from chestnutstair.standins.webserver import wait_for_stop_signal

__all__ = ["main"]


def main() -> None:
    """Print the addresses as JSON, and serve until SIGTERM or SIGINT."""
    port, settings = read_arguments(TargetSettings)
    target = Target(settings, port)
    target.start()
    print_addresses(
        address=target.address, control_address=target.control_address
    )
    wait_for_stop_signal()
    target.stop()


if __name__ == "__main__":
    main()
