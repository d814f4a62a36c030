"""The users' platform: its names, formats and calls, put into the product's terms and back. Nothing here decides."""
