"""Cached prefixes of prompts, weighed against the wait for each request."""
