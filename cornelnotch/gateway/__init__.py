"""Route callers' requests to servers on hosts that keep nothing."""
