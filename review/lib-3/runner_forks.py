"""Starts lives of runners by forking, which takes a few milliseconds.

Usage: runner_forks.py

Each line of the input is the path of a life's settings; the answer is a line
with its process id. Ends its lives when the input ends.
"""

import os
import select
import signal
import sys

import runner_standin


def main():
    """Fork a life for each line; reap those that have ended."""
    lives = set()
    source = sys.stdin.fileno()
    buffered = b""
    while True:
        while lives:
            ended, _ = os.waitpid(-1, os.WNOHANG)
            if not ended:
                break
            lives.discard(ended)
        if not select.select([source], [], [], 0.1)[0]:
            continue
        data = os.read(source, 65536)
        if not data:
            break
        *lines, buffered = (buffered + data).split(b"\n")
        for line in lines:
            child = os.fork()
            if not child:
                os.close(source)
                os.close(sys.stdout.fileno())
                sys.argv = ["runner_standin.py", line.decode()]
                runner_standin.main()
                os._exit(0)
            lives.add(child)
            os.write(sys.stdout.fileno(), f"{child}\n".encode())
    for life in lives:
        os.kill(life, signal.SIGKILL)


if __name__ == "__main__":
    main()
