"""Which kept connections may have gone silent without being closed."""

import itertools

__all__ = ["KeptConnections"]


class KeptConnections:
    """Orders calls and answers on the connections to one server.

    A connection may stay open and carry nothing any more, which only a call
    that times out shows. Others that have carried nothing since that call
    began have probably gone silent with it. Without this, as many calls would
    time out as connections are kept.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._silent_since = 0

    def take_number(self) -> int:
        """Return the next number, for the begin of a call or its answer."""
        return next(self._numbers)

    def record_silence(self, began: int) -> None:
        """Record that the call of this number got no answer in time."""
        self._silent_since = max(self._silent_since, began)

    def may_be_silent(self, answered: int) -> bool:
        """Return whether a connection may be silent.

        `answered` is the number of its last answer.
        """
        return answered < self._silent_since
