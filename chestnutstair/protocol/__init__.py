"""Protocols: messages between processes, and the services behind them."""
