"""Benchmarks that compare variants within one run, as ratios. CI does not run them."""
