"""Route language-model traffic by service class, tier and deadline."""

__version__ = "0.1.0"
