"""Give sample configurations for tests, benchmarks and examples."""

__all__ = ["create_heelmark_text", "create_server_section"]

HEELMARK_CLASSES = """
[place taipei-a]
region = north-tw
[place taoyuan-b]
region = north-tw
[place kaohsiung-a]
region = south-tw

[class quote]
tier = 1
first_token_ms = 460
between_tokens_ms = 71
deadline_ms = 8000
longest_wait_ms = 8000
floor = 0.02
[class draft]
tier = 5
first_token_ms = 3000
deadline_ms = 30000
longest_wait_ms = 5000
floor = 0.05
[class booking]
tier = 1
whole_ms = 1000
deadline_ms = 5000
repeat = once
[class availability]
tier = 2
whole_ms = 500
deadline_ms = 3000

[pool cobbler-assist]
protocol = engine
expected_ms = 800
[pool counter-desk]
protocol = service
expected_ms = 30

[selector quotes]
order = 10
labels = kind=quote
class = quote
pool = cobbler-assist
[selector drafts]
order = 90
class = draft
pool = cobbler-assist
[selector bookings]
order = 10
service = counter-desk
labels = kind=booking
class = booking
pool = counter-desk
[selector availability]
order = 20
service = counter-desk
class = availability
pool = counter-desk

[claims]
streams = 2
horizon_ms = 1800000
"""


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
    return HEELMARK_CLASSES + servers
