"""Transport: the HTTP and gRPC servers and clients."""
