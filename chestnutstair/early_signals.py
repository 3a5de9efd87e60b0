"""Ignores SIGHUP while the rest is imported, until the daemon heeds it.

Its default action would end a process that has only just been started.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
