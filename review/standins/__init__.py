"""Small stand-ins for the platform, the targets and the clients of the review's cases."""
