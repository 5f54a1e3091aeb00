"""Second attempts of requests whose answer is slow."""
