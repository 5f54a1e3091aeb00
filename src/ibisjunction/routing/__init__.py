"""The life of one request, from its headers to the last byte of its answer."""
