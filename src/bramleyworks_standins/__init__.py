"""Stand-ins for the platform's services, for tests and the demo.

The store, the VM list and the upstream run as
``python -m bramleyworks_standins.NAME --port N``. They respond to
``GET /-/faults`` with their fault switches as soon as they are ready, and
``POST /-/faults`` changes the switches named in its JSON body.
"""
