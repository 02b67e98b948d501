"""At-most-once execution: claims in the store and entry-issued order ids."""
