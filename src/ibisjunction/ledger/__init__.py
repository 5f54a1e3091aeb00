"""Records of non-idempotent requests, and counts of crashes."""
