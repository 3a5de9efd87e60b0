"""Measures the check of a caller's key, by the number of keys.

Prints a table and writes no files. The index is compared with a search of
all digests, which needs no index.
"""

import gc
import hmac
import json
import statistics
import time
from collections.abc import Callable

from result import Result

from chestnutstair.platform import PlatformDecoder
from chestnutstair.scheduling.configuration import FleetConfiguration
from chestnutstair.scheduling.organisations.keys import compute_key_digest

__all__ = ["main"]

KEY_COUNTS = (20, 5000)
ORGANISATION_COUNT = 20
CHECK_COUNT = 2000
ROUND_COUNT = 7
MICROSECONDS_PER_SECOND = 1_000_000


def _build_key(number: int) -> str:
    return f"key-{number:012d}-0123456789abcdef"


def _encode_configuration(key_count: int) -> bytes:
    tenants = [
        {
            "name": f"organisation-{number:02d}",
            "apiKeys": [
                _build_key(key)
                for key in range(number, key_count, ORGANISATION_COUNT)
            ],
        }
        for number in range(ORGANISATION_COUNT)
    ]
    return json.dumps(
        {"version": 1, "routes": [], "tenants": tenants}
    ).encode()


def _time_checks(check: Callable[[str], object], headers: list[str]) -> float:
    """Return the microseconds of a check, the best of several rounds."""
    rounds = []
    for _ in range(ROUND_COUNT):
        began = time.perf_counter()
        for header in headers:
            check(header)
        rounds.append((time.perf_counter() - began) / len(headers))
    return min(rounds) * MICROSECONDS_PER_SECOND


def _time_decoding(value: bytes) -> tuple[float, float]:
    """Return the ms of decoding a configuration and of building its index."""
    decodings, builds = [], []
    for _ in range(ROUND_COUNT):
        began = time.perf_counter()
        configuration = PlatformDecoder().read_configuration(value)
        decoded = time.perf_counter()
        assert configuration is not None
        assert configuration.key_index is not None
        builds.append(time.perf_counter() - decoded)
        decodings.append(decoded - began)
    return statistics.median(decodings) * 1000, statistics.median(
        builds
    ) * 1000


def _build_search(configuration: FleetConfiguration) -> Callable[[str], bool]:
    """Return a check that compares a key with all digests."""
    assert configuration.organisations is not None
    digests = [
        digest
        for organisation in configuration.organisations.values()
        for digest in organisation.key_digests
    ]

    def search(header: str) -> bool:
        digest = compute_key_digest(header.partition(" ")[2].encode())
        # Without an early end, as in a search of constant time.
        return sum(hmac.compare_digest(digest, known) for known in digests) > 0

    return search


def main() -> None:
    """Time accepted and refused keys for each number of keys."""
    print("keys | microseconds per check: known key, unknown key, no key,")
    print("search of all digests | ms to decode, ms to build the index")
    for count in KEY_COUNTS:
        value = _encode_configuration(count)
        configuration = PlatformDecoder().read_configuration(value)
        assert configuration is not None
        index = configuration.key_index
        assert index is not None

        def check(header: str, index=index) -> Result:  # type: ignore[no-untyped-def]
            return index.check_header(header)

        step = max(1, count // CHECK_COUNT)
        known = [f"Bearer {_build_key(n)}" for n in range(0, count, step)]
        known = (known * (CHECK_COUNT // len(known) + 1))[:CHECK_COUNT]
        unknown = [f"{header}x" for header in known]
        assert all(check(header).is_ok() for header in known)
        assert not any(check(header).is_ok() for header in unknown)
        gc.collect()
        accepted = _time_checks(check, known)
        refused = _time_checks(check, unknown)
        absent = _time_checks(check, [""] * CHECK_COUNT)
        searched = _time_checks(_build_search(configuration), known[:100])
        decode_ms, build_ms = _time_decoding(value)
        print(
            f"{count:5d} | {accepted:6.2f} {refused:6.2f} {absent:6.2f}"
            f" {searched:8.1f} | {decode_ms:6.2f} {build_ms:6.2f}",
            flush=True,
        )


if __name__ == "__main__":
    main()
