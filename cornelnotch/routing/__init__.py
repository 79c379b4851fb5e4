"""Take requests in, decide on them and carry them to servers."""
