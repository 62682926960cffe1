"""Settings files in TOML and their validated models."""
