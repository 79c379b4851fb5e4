"""Review of a deployment's configuration before it is put in force."""
