"""Command-line helpers of the project's developers."""
