"""A model of the systems served, with experiments and benchmarks."""
