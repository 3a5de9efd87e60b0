"""Developer tools: checks, benchmarks, demos and generators."""
