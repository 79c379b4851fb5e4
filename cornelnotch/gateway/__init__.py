"""Gateway hosts, without persistent state, that route caller requests to servers."""
