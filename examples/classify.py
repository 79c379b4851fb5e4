"""Apply a configuration and classify requests."""

from cornelnotch.configuration import (
    Change,
    ConfigurationState,
    apply_record,
    encode_record,
    select_class,
)

TEXT = """
[class quote]
tier = 1
first_token_ms = 460
[class draft]
tier = 5
[pool assistants]
protocol = engine
[selector quotes]
order = 10
labels = kind=quote
class = quote
pool = assistants
[selector others]
class = draft
pool = assistants
"""

verdict = apply_record(ConfigurationState(), 0, encode_record(Change("a", -1, TEXT)))
print("accepted:", verdict.accepted)
configuration = verdict.state.configuration
for labels in ({"kind": "quote"}, {}):
    selection = select_class(configuration, "shop", labels, None).unwrap()
    print(labels, "->", selection.class_name, "by selector", selection.selector)

concurrent_change = Change("b", -1, "[class draft]\ntier = 4\n")
print(
    "concurrent change:",
    apply_record(verdict.state, 1, encode_record(concurrent_change)).error,
)
