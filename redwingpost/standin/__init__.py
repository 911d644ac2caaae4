"""standin."""
