"""z3 models of the core protocols, with proofs of their properties."""
