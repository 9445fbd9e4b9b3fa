"""Messages to thrift's compact protocol and back.

Generated classes stay inside this module: each has a frozen data class of the same name and
fields, and only those leave it.
"""

import dataclasses
import enum
import types
import typing
from importlib import import_module

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer
from thrift.TSerialization import serialize

from ..base import Codec, FrameError, Message
from . import _handshake
from .generated import ttypes

# ``service`` is a reserved word of the interface language.
WIRE_NAMES = {"service": "service_name"}
# Packages whose messages travel between a site's processes, and those that entries take part in.
# They import little, so that a process is up soon after a restart.
EDGE_PACKAGES = ("catalogue", "registry", "avoidance", "hub")
SITE_PACKAGES = ("consensus", "replication", *EDGE_PACKAGES)
ALL_PACKAGES = (
    *SITE_PACKAGES,
    "ledger",
    "configuration",
    "health",
    "control",
    "membership",
    "entry",
)


class StructConverter:
    """Converts one data class to its generated class and back."""

    def __init__(self, message_class: type, wire_class: type):
        self.message_class = message_class
        self.wire_class = wire_class
        self._fields: list[tuple[str, str, typing.Any, typing.Any]] = []

    def prepare(self, converters: dict[type, "StructConverter"]) -> None:
        """Work out each field's conversion once all converters exist."""
        hints = typing.get_type_hints(self.message_class)
        for field in dataclasses.fields(self.message_class):
            wire_name = WIRE_NAMES.get(field.name, field.name)
            to_wire, from_wire = _create_conversions(hints[field.name], converters)
            self._fields.append((field.name, wire_name, to_wire, from_wire))

    def to_wire(self, message: Message) -> typing.Any:
        """Return the generated object of a message."""
        wire = self.wire_class()
        for name, wire_name, convert, _ in self._fields:
            value = getattr(message, name)
            if value is not None and convert is not None:
                value = convert(value)
            setattr(wire, wire_name, value)
        return wire

    def from_wire(self, wire: typing.Any) -> Message:
        """Return the message of a generated object; absent fields take their defaults."""
        values = {}
        for name, wire_name, _, convert in self._fields:
            value = getattr(wire, wire_name)
            if value is not None:
                values[name] = convert(value) if convert is not None else value
        return self.message_class(**values)


def _create_conversions(hint, converters):
    """Return functions to and from the wire for a type, or None where nothing is to do."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        inner = next(item for item in typing.get_args(hint) if item is not types.NoneType)
        return _create_conversions(inner, converters)
    if origin is tuple:
        return _create_list_conversions(typing.get_args(hint)[0], converters)
    if hint in converters:
        return converters[hint].to_wire, converters[hint].from_wire
    if issubclass(hint, enum.StrEnum):
        return str, hint
    return None, None


def _create_list_conversions(hint, converters):
    to_wire, from_wire = _create_conversions(hint, converters)
    if to_wire is None:
        return list, tuple
    return (
        lambda items: [to_wire(item) for item in items],
        lambda items: tuple(from_wire(item) for item in items),
    )


class ThriftCodec(Codec):
    """Encodes messages as the one field that is set of the struct ``Body``.

    Parameters
    ----------
    packages : tuple of str
        Packages of this library whose messages are known; others are malformed.
    """

    def __init__(self, packages: tuple[str, ...] = ALL_PACKAGES):
        self._factory = TCompactProtocolAcceleratedFactory()
        self._fields: dict[type, tuple[str, StructConverter]] = {}
        converters = {}
        modules = [_handshake]
        modules += (import_module(f"..{name}", __package__) for name in packages)
        for spec in ttypes.Body.thrift_spec:
            if spec is None:
                continue
            wire_class = spec[3][0]
            message_class = _find_message_class(modules, wire_class)
            if message_class is None:
                continue
            converter = StructConverter(message_class, wire_class)
            converters[converter.message_class] = converter
            self._fields[converter.message_class] = (spec[2], converter)
        for converter in converters.values():
            converter.prepare(converters)

    def encode(self, message: Message) -> bytes:
        """Return the bytes of a message."""
        return serialize(self.to_body(message), self._factory)

    def decode(self, content: bytes) -> Message:
        """Return the message of some bytes; raises ``FrameError`` on malformed content."""
        return self.from_body(self.read_struct(ttypes.Body, content))

    def to_body(self, message: Message) -> ttypes.Body:
        """Return the generated object that wraps a message."""
        name, converter = self._fields[type(message)]
        body = ttypes.Body()
        setattr(body, name, converter.to_wire(message))
        return body

    def from_body(self, body: ttypes.Body | None) -> Message:
        """Return the message that a generated object wraps; raises ``FrameError``."""
        for name, converter in self._fields.values():
            wire = getattr(body, name, None)
            if wire is not None:
                try:
                    return converter.from_wire(wire)
                except (TypeError, ValueError, AttributeError) as error:
                    raise FrameError(f"message {name!r} is malformed: {error}") from error
        raise FrameError("the frame holds no known message")

    def read_struct(self, wire_class: type, content: bytes) -> typing.Any:
        """Return a generated object of some bytes; raises ``FrameError``."""
        buffer = TMemoryBuffer(content)
        wire = wire_class()
        try:
            wire.read(self._factory.getProtocol(buffer))
        except Exception as error:  # The library raises many kinds on malformed bytes.
            raise FrameError(f"bytes are not a {wire_class.__name__}: {error}") from error
        return wire

    def write_struct(self, wire: typing.Any) -> bytes:
        """Return the bytes of a generated object."""
        return serialize(wire, self._factory)


def _find_message_class(modules: list, wire_class: type) -> type | None:
    for module in modules:
        found = getattr(module, wire_class.__name__, None)
        if found is not None:
            return found
    return None


def create_codec(packages: tuple[str, ...] = ALL_PACKAGES) -> ThriftCodec:
    """Return a codec for the messages of some packages."""
    return ThriftCodec(packages)
