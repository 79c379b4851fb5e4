"""Turn the installed program into one file."""
