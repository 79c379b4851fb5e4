"""Orders of servers by the work that callers ask for."""
