"""The operators' configuration document: schema, validation, versions and chunks."""

from ._chunks import ChunkStore, assemble_document, find_validation_errors, split_document
from ._document import (
    Account,
    Detection,
    Document,
    Finding,
    Region,
    Route,
    Service,
    check_document,
    describe_errors,
    parse_document,
)
from ._messages import (
    ApplyConfiguration,
    ApplyResult,
    ApplyState,
    ChangeRecord,
    Chunk,
    ConfigurationVersion,
    RegisterState,
)
from ._register import ConfigurationRegister

__all__ = [
    "Account",
    "ApplyConfiguration",
    "ApplyResult",
    "ApplyState",
    "ChangeRecord",
    "Chunk",
    "ChunkStore",
    "ConfigurationRegister",
    "ConfigurationVersion",
    "Detection",
    "Document",
    "Finding",
    "Region",
    "RegisterState",
    "Route",
    "Service",
    "assemble_document",
    "check_document",
    "describe_errors",
    "find_validation_errors",
    "parse_document",
    "split_document",
]
