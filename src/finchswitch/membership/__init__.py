"""Kinship: who is a member, told by sessions with control nodes and by beats between peers."""
