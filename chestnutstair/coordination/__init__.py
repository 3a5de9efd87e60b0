"""Coordination: the decisions, loops and policies of a daemon."""
