"""Protocol: messages between parties and what answers them."""
