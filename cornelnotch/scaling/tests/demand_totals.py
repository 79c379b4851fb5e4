"""Totals of simulated hosts at a given demand."""

from cornelnotch.wire.messages import DemandRow, DemandTotals

__all__ = ["create_totals", "report_steadily"]


def create_totals(host, sequence, requests, boot_ms=1, domain="a1", **fields):
    row = DemandRow("llm", 1, requests, 0, 0, requests * 1000, 0, 0, 0.0)
    return DemandTotals(host, boot_ms, domain, sequence, [row], **fields)


def report_steadily(history, per_second, from_s, to_s, host="h1", domain="a1"):
    """Report `per_second` requests of one host once a second."""
    for second in range(from_s, to_s + 1):
        requests = (second - from_s) * per_second
        totals = create_totals(host, second, requests, domain=domain)
        history.add(totals, second * 1000.0)
