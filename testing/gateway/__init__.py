"""In-process fakes for the gateway tests: targets, a store, entries and a header codec."""
