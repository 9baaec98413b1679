"""Global traffic steering between callers and upstreams."""

__version__ = "0.1.0"
