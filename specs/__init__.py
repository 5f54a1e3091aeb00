"""Specifications that a model checker explores exhaustively."""
