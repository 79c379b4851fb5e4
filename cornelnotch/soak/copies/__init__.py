"""Soak of streams that go on from copies at engines that stand still or crash."""
