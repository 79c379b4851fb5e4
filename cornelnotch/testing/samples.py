"""Give sample configurations for tests, benchmarks and examples."""

from cornelnotch.load.embedded import read_deployment_text

__all__ = ["create_heelmark_text", "create_server_section"]


def create_server_section(
    name: str, pool: str, address: str, place: str = "taipei-a", slots: int = 8
) -> str:
    """Return the section of one server."""
    return (
        f"[server {name}]\npool = {pool}\naddress = {address}\n"
        f"place = {place}\nslots = {slots}\n"
    )


def create_heelmark_text(servers: str) -> str:
    """Return Heelmark's classes and selectors with the given servers."""
    return read_deployment_text("heelmark") + servers
