"""The decisions on the request path, a module for each mechanism."""
