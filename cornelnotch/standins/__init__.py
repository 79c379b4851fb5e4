"""Stand in for the platform, the engines and the plain services."""
