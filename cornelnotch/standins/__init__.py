"""Simulated platform, engines and services, with fault injection."""
