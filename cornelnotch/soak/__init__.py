"""Seeded runs of real processes with callers that keep their connections."""
