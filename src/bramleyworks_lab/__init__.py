"""Models of the deployments, experiments and benchmarks."""
