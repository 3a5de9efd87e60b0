"""State: frozen data classes and the pure functions over them."""
