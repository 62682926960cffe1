"""Long randomised runs: traffic and seeded faults, promises checked."""
