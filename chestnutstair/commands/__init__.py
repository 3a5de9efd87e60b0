"""The commands of the client, one module for each group."""
