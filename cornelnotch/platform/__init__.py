"""Adapters between the hosting platform and the gateway."""
