"""Benchmarks of cornelnotch; each module is a command that prints its results."""
