"""Ignores SIGHUP from import until the daemon installs its handler.

The default action would kill a process that has just been started.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)
