"""Stand-ins for backend servers and builders of test data."""
