"""Values that a writer of another kind, or a faulty one, may send."""

import json
from collections.abc import Mapping
from typing import Any

from hypothesis import settings, strategies as st

__all__ = [
    "DEEP_JSON",
    "FUZZ",
    "HUGE_NUMBERS",
    "addresses",
    "header_values",
    "json_texts",
    "json_values",
    "number_texts",
]

# Tests of odd input draw the same examples in each run.
FUZZ = settings(derandomize=True, deadline=None, max_examples=300, database=None)

# Deeper than the recursion limit of the interpreter, also where hypothesis raises it.
DEEP_JSON = "[" * 20_000 + "]" * 20_000
HUGE_NUMBERS = [2**31, 2**63, -(2**63) - 1, 2**64, 2**70, 10**30, -(10**30)]
NUMBER_TEXTS = [
    "",
    " ",
    "-1",
    "+1",
    "1.5",
    "1e3",
    "1e308",
    "1e400",
    "-1e400",
    "inf",
    "-inf",
    "Infinity",
    "nan",
    "1_000",
    "0x10",
    "\u00b2",
    "\u0661",
    "65536",
    str(2**63),
    str(2**64),
    "9" * 400,
    "9" * 5000,
    "0" * 5000 + "1",
    "." * 10,
    "0." + "0" * 400 + "1",
]


def number_texts() -> st.SearchStrategy[str]:
    """Return a strategy of numbers as text, and of text that is no number."""
    odd = st.sampled_from(NUMBER_TEXTS)
    return st.one_of(
        odd,
        odd,
        odd,
        st.integers().map(str),
        st.floats().map(str),
        st.text(max_size=12),
    )


def header_values() -> st.SearchStrategy[str]:
    """Return a strategy of header values as they arrive, decoded as Latin-1."""
    characters = st.characters(min_codepoint=32, max_codepoint=255)
    latin = st.text(characters, max_size=30)
    numbers = number_texts().filter(lambda text: text.isprintable())
    encoded = numbers.map(lambda text: text.encode("utf-8").decode("latin-1"))
    pieces = st.lists(st.one_of(encoded, latin), min_size=1, max_size=3)
    return st.one_of(encoded, latin, pieces.map(",".join), pieces.map(":".join))


def json_values() -> st.SearchStrategy[Any]:
    """Return a strategy of JSON values, with numbers beyond 64 bits."""
    return st.recursive(
        st.one_of(
            st.none(),
            st.booleans(),
            st.sampled_from(HUGE_NUMBERS),
            st.integers(),
            st.floats(allow_nan=False, allow_infinity=False),
            number_texts(),
        ),
        lambda inner: st.one_of(
            st.lists(inner, max_size=3),
            st.dictionaries(st.text(max_size=8), inner, max_size=3),
        ),
        max_leaves=6,
    )


def addresses() -> st.SearchStrategy[str]:
    """Return a strategy of addresses with odd hosts and ports."""
    hosts = ["127.0.0.1", "", "a..b", "a" * 70, "a\x00b", "[::1]", "1.2.3", "256.0.0.1"]
    names = st.one_of(st.sampled_from(hosts), st.text(max_size=8))
    return st.tuples(names, number_texts()).map(":".join)


@st.composite
def json_texts(draw: st.DrawFn, content: Mapping[str, Any]) -> bytes:
    """Draw `content` as JSON with some values replaced by odd ones."""
    changed = dict(content)
    for name in draw(st.lists(st.sampled_from(sorted(content)), max_size=3)):
        # Most odd values have the expected type, so that they are not rejected for it.
        numbers = st.one_of(st.sampled_from(HUGE_NUMBERS), st.integers())
        alike = numbers if isinstance(content[name], int) else addresses()
        changed[name] = draw(st.one_of(alike, alike, alike, json_values()))
    text = json.dumps(changed)
    odd = draw(st.sampled_from(["", "", "", DEEP_JSON, "1e400", "NaN", "9" * 5000]))
    if odd:
        text = text[:-1] + f', "{draw(st.sampled_from([*sorted(content), "x"]))}": '
        text += odd + "}"
    return text.encode("utf-8", "surrogatepass")
