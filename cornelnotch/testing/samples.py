"""Sample configurations for tests, benchmarks and examples."""

from cornelnotch.load.embedded import read_deployment_text

__all__ = ["create_sample_configuration", "create_server_section"]


def create_server_section(
    name: str, pool: str, address: str, place: str = "taipei-a", slots: int = 8
) -> str:
    """Return the configuration section of a server."""
    return (
        f"[server {name}]\npool = {pool}\naddress = {address}\n"
        f"place = {place}\nslots = {slots}\n"
    )


def create_sample_configuration(servers: str) -> str:
    """Return the Heelmark sample configuration with the given server sections."""
    return read_deployment_text("heelmark") + servers
