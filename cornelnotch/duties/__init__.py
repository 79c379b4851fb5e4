"""Duties that one host at a time has towards the platform's API."""
