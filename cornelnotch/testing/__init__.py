"""Start fleets of real processes for tests and benchmarks."""
