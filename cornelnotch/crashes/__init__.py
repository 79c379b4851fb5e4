"""Evidence of crashes that outlives the hosts which saw them."""
