"""Process fleets, fault injection and simulations for tests and benchmarks."""
