"""The decisions on the request path, mechanism by mechanism and as a whole."""
