"""Stand-in of the platform: its store and its list of machines.

Usage: platform_standin.py PORT_FILE

Runners register and ping through POST /standin/entry; machines are described
through POST /standin/machine, and the operator writes by POST /standin/put.
After POST /standin/mute feeds hear nothing until POST /standin/forget, which
drops the history.
"""

import base64
import sys
import threading
import time
from pathlib import Path

from web import build_server

SILENT_SECONDS = 4.5  # three intervals of 1,500 ms

class Platform:
    """Rows with one version counter, and machines that stay in their pool."""

    def __init__(self):
        self.changed = threading.Condition(threading.RLock())
        self.version = 0
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, (table, part, key), value or None)
        self.machines = {}
        self.floor = 0  # changes up to this version are forgotten
        self.is_mute = False  # feeds hear nothing
        self.heard = {}  # id of a runner -> time of its last ping

    def drop_silent(self):
        """Remove the entries of runners after three silent intervals."""
        while True:
            time.sleep(0.1)
            with self.changed:
                oldest = time.monotonic() - SILENT_SECONDS
                gone = [name for name, at in self.heard.items() if at < oldest]
                for name in gone:
                    del self.heard[name]
            if gone:
                keys = [("servers", "", name) for name in gone]
                self.commit([], [], keys)

    def commit(self, expected, puts, removed):
        """Apply a transaction; return its version, or None if refused."""
        with self.changed:
            for key, version in expected:
                found = self.rows.get(key)
                if (found[1] if found else 0) != version:
                    return None
            self.version += 1
            for key, value in puts:
                self.rows[key] = (value, self.version)
                self.log.append((self.version, key, value))
            for key in removed:
                if self.rows.pop(key, None) is not None:
                    self.log.append((self.version, key, None))
            self.changed.notify_all()
            return self.version

    def answer(self, method, path, query, headers, body):
        """Answer one call."""
        name = path.rsplit("/", 1)[-1]
        if path == "/standin/entry":
            key = ("servers", "", body["id"])
            value = base64.b64encode(body["entry"].encode()).decode()
            with self.changed:
                self.heard[body["id"]] = time.monotonic()
                self.commit([], [(key, value)], [])
            return 200, {}
        if path == "/standin/put":
            key = (body["table"], "", body["key"])
            value = base64.b64encode(body["value"].encode()).decode()
            return 200, {"ver": self.commit([], [(key, value)], [])}
        if path == "/standin/mute":
            with self.changed:
                self.is_mute = True
            return 200, {}
        if path == "/standin/forget":
            with self.changed:
                self.is_mute = False
                self.floor = self.version
                self.log.clear()
                self.changed.notify_all()
            return 200, {}
        if path == "/standin/machine":
            self.machines[body["machine"]] = body
            return 200, {}
        if name == "rows-tx":
            return self.answer_tx(body)
        if name == "rows-get":
            return self.answer_get(query)
        if name == "rows-feed":
            return self.answer_feed(query)
        if name == "machines":
            machines = sorted(
                self.machines.values(), key=lambda item: item["machine"]
            )
            return 200, {"machines": machines, "nextToken": ""}
        if name in ("machine-move", "machine-upkeep"):
            return 409, {"reason": "busy"}
        return 404, {}

    def answer_tx(self, body):
        """Apply a transaction of one part."""

        def read_key(item):
            return item["table"], item.get("part", ""), item["key"]

        time.sleep(0.005)
        expected = [
            (read_key(item), item["ver"])
            for item in body.get("expectedRev", [])
        ]
        puts = [
            (read_key(item), item["value"]) for item in body.get("puts", [])
        ]
        removed = [read_key(item) for item in body.get("remove", [])]
        parts = {key[1] for key, _ in expected + puts}
        parts |= {key[1] for key in removed}
        count = len(expected) + len(puts) + len(removed)
        if len(parts) > 1 or count > 100:
            return 400, {}
        for key, value in puts:
            if key[0] in ("op", "servers"):
                return 403, {}
            if len(base64.b64decode(value)) > 65536:
                return 400, {}
        version = self.commit(expected, puts, removed)
        if version is not None:
            return 200, {"ver": version, "nowMs": read_ms()}
        with self.changed:
            rows = [
                self.render(key, *self.rows[key])
                for key, _ in expected
                if key in self.rows
            ]
        return 412, {"rows": rows, "ver": self.version, "nowMs": read_ms()}

    @staticmethod
    def render(key, value, version):
        """Return a row as the store's answers have it."""
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def answer_get(self, query):
        """Return up to 500 rows of a range."""
        first, end = query.get("from", ""), query.get("to", "")
        limit = min(500, int(query.get("limit", 500)))
        with self.changed:
            found = sorted(
                (key, row)
                for key, row in self.rows.items()
                if key[:2] == (query["table"], query.get("part", ""))
                and key[2] >= first
                and (not end or key[2] < end)
            )
            version = self.version
        rows = [self.render(key, *row) for key, row in found[:limit]]
        return 200, {
            "rows": rows,
            "morePages": len(found) > limit,
            "ver": version,
            "nowMs": read_ms(),
        }

    def answer_feed(self, query):
        """Return changes after a version, waiting for the first one."""
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            while True:
                if after < self.floor:
                    return 410, {}
                rows = []
                for version, key, value in reversed(self.log):
                    if version <= after or self.is_mute:
                        break
                    if key[0] == table:
                        rows.append(self.render(key, value, version))
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {
                        "rows": rows[::-1],
                        "ver": after if self.is_mute else self.version,
                        "nowMs": read_ms(),
                    }
                self.changed.wait(left)


def read_ms():
    """Return the store's steady clock."""
    return int(time.monotonic() * 1000)


def main():
    """Serve until killed."""
    platform = Platform()
    threading.Thread(target=platform.drop_silent, daemon=True).start()
    server = build_server(platform.answer)
    path = Path(sys.argv[1])
    path.with_suffix(".new").write_text(str(server.server_address[1]))
    path.with_suffix(".new").rename(path)
    server.serve_forever()


if __name__ == "__main__":
    main()
