"""Ownership of key ranges: the plan, its leader, grants, leases and placement."""
