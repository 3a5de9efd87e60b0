"""Commands of the operators' client, one module for each group."""
