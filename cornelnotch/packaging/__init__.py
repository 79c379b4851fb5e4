"""Packaging of the program as a single executable file."""
