"""Load that servers report, and bounds on what hosts and servers hold."""
