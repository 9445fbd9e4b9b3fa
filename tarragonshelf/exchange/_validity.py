"""Checks of responses that the HTTP parser leaves to its caller."""

import re

from .base import RawHeaders

MINIMUM_STATUS = 200
# h11 accepts any status up to 999, but RFC 9110, section 15, defines none above 599, and a caller
# cannot tell from such a status whether its request succeeded.
MAXIMUM_STATUS = 599
# h11 accepts control characters in values, which parsers of callers reject.
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
FIELD_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")


def find_malformed_head(status: int, headers: RawHeaders) -> str:
    """Return why status or headers are not valid in HTTP, or an empty string."""
    if not MINIMUM_STATUS <= status <= MAXIMUM_STATUS:
        return f"the status {status} is not valid"
    return find_malformed_fields(headers)


def find_malformed_fields(headers: RawHeaders) -> str:
    """Return why a list of headers or trailers is not valid in HTTP, or an empty string."""
    for name, value in headers:
        if not FIELD_NAME.fullmatch(name):
            return f"the field name {name[:40]!r} is not valid"
        if CONTROL_CHARACTER.search(value):
            return f"the field {name[:40].decode()} holds a control character"
    return ""


def find_malformed_framing(version: bytes, reason: bytes, headers: RawHeaders) -> str:
    """Return why the end of a response is in doubt, or an empty string.

    h11 ignores a length next to a transfer coding, and a coding that the version does not have.
    """
    if not version.startswith(b"1."):
        return f"the version {version.decode()} was not requested"
    if CONTROL_CHARACTER.search(reason):
        return "the reason phrase holds a control character"
    names = {name.lower() for name, _ in headers}
    if b"transfer-encoding" not in names:
        return ""
    if b"content-length" in names:
        return "the response has both Content-Length and Transfer-Encoding"
    return "HTTP/1.0 has no Transfer-Encoding" if version == b"1.0" else ""
