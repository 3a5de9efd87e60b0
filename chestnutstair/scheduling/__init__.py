"""Places jobs on workers: one leader plans, every node answers callers."""
