"""Schedules jobs on workers: one leader plans, all nodes serve callers."""
