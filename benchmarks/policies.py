"""Scheduling policies that the benchmarks compare."""

from dataclasses import dataclass

__all__ = ["POLICIES", "Policy"]


@dataclass(frozen=True, slots=True)
class Policy:
    """Combination of a queue discipline and a balancer."""

    name: str
    discipline: str
    balancer: str


POLICIES = (
    Policy("cornelnotch", "tiered", "adaptive"),
    Policy("first in, first out", "fifo", "adaptive"),
    Policy("round robin", "fifo", "round-robin"),
    Policy("least in flight", "fifo", "least-in-flight"),
)
