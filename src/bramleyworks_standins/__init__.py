"""Small stand-ins of the platform for tests and the demo.

Each program runs as ``python -m bramleyworks_standins.NAME --port N``. All of
them answer ``GET /-/faults`` with their switches as soon as they are ready,
and ``POST /-/faults`` changes the switches named in its JSON body.
"""
