"""Translates between the users' platform and ibisjunction."""
