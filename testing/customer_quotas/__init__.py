"""Model of a fleet that shares the quotas of customers, without a network."""
