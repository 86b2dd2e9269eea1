"""In-process stand-ins for the tests of the gateway: targets, a store and a plain dialect."""
