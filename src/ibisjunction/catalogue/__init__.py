"""Routes, services and limits as versioned items."""
