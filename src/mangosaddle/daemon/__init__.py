"""Assembly of one entry process."""
