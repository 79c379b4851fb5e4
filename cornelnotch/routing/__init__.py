"""Validate requests, obtain permits for them and forward them to servers."""
