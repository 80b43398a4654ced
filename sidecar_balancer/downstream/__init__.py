"""The application's side: client connections."""
