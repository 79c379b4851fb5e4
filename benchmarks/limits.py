"""Play fleets with limited servers in virtual time; print the use of their limits.

Run `python -m benchmarks.limits HOSTS...`, by default with 9 and 67 hosts.
"""

import sys

from cornelnotch.gateway.tests.limited_fleet import find_most_in_window
from cornelnotch.gateway.tests.test_limited_fleet import (
    ALLOWED_EXTRA,
    ALLOWED_FACTOR,
    CONTACT_S,
    FAULTS,
    FIRST_FAULT_S,
    WINDOW_S,
    play,
)

DEFAULT_HOSTS = [9, 67]
LIMITS = [0.5, 1.0, 10.0, 100.0]
DURATION_S = 24.0
# A fleet whose servers all have a higher limit plays for minutes.
MAX_LIMIT_OF_ALL = 10.0


def main():
    """Print one line for each number of hosts, limit and fault."""
    for count in [int(argument) for argument in sys.argv[1:]] or DEFAULT_HOSTS:
        for per_second in LIMITS:
            for fault in FAULTS:
                print_play(count, per_second, fault, False)
                if per_second <= MAX_LIMIT_OF_ALL:
                    print_play(count, per_second, fault, True)


def print_play(count, per_second, fault, all_limited):
    """Play one fleet and print what its limited servers and its callers got."""
    fleet = play(count, per_second, fault, all_limited, duration_s=DURATION_S)
    limited = [s for s in fleet.servers.values() if s.per_second is not None]
    most = max(find_most_in_window(s.arrivals, CONTACT_S, WINDOW_S) for s in limited)
    allowed = ALLOWED_FACTOR * per_second * WINDOW_S + ALLOWED_EXTRA
    span_s = DURATION_S - FIRST_FAULT_S
    used = sum(
        FIRST_FAULT_S <= arrival.at_s < DURATION_S
        for server in limited
        for arrival in server.arrivals
    )
    share = used / (span_s * per_second * len(limited))
    tiers = [round(fleet.find_served_share(tier), 2) for tier in range(3)]
    messages = fleet.messages / count / DURATION_S
    print(
        f"{count:4d} hosts, limit {per_second:5.1f} at "
        f"{'all' if all_limited else 'one'}, {fault.__name__:22} "
        f"most in 4 s {most:4d} of {allowed:5.0f}, used {share:.2f}, served "
        f"{fleet.find_served_share():.3f}, tiers {tiers}, "
        f"{messages:.1f} messages a host and second",
        flush=True,
    )


if __name__ == "__main__":
    main()
