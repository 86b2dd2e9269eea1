"""Demonstration: a deployment on loopback under load, with a zone taken out and back."""
