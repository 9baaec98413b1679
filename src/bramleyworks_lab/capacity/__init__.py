"""Cost measurements that the capacity page reports."""
