"""What heads tell each other of shelves that drain or are gone."""
