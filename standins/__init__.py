"""Small processes that play the systems around the product in tests and demonstrations."""
