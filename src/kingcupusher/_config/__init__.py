"""Service files, the configuration document, and its publication by compare-and-swap."""

from __future__ import annotations

from kingcupusher._config.document import (
    decode_document,
    encode_document,
    merge_services,
    with_zone_state,
)
from kingcupusher._config.errors import (
    ConfigError,
    DocumentError,
    FieldError,
    MergeError,
    Problem,
    ServiceFileError,
    ServiceFilesError,
)
from kingcupusher._config.files import ServiceFile, load_service_file, load_service_files
from kingcupusher._config.model import (
    ConfigDocument,
    NonIdempotentRule,
    Priority,
    Publication,
    RequestPolicy,
    Service,
    TargetLimits,
)
from kingcupusher._config.outcome import PublishOutcome, PublishResult
from kingcupusher._config.publisher import Publisher
from kingcupusher._config.reconcile import ReconcileResult, newer_document, reconcile
from kingcupusher._config.store_sync import sync_with_store
from kingcupusher._config.stored_document import CONFIG_KEY

__all__ = [
    "CONFIG_KEY",
    "ConfigDocument",
    "ConfigError",
    "DocumentError",
    "FieldError",
    "MergeError",
    "PublishOutcome",
    "Priority",
    "Problem",
    "Publication",
    "PublishResult",
    "Publisher",
    "ReconcileResult",
    "RequestPolicy",
    "NonIdempotentRule",
    "Service",
    "ServiceFile",
    "ServiceFileError",
    "ServiceFilesError",
    "TargetLimits",
    "decode_document",
    "encode_document",
    "sync_with_store",
    "load_service_file",
    "load_service_files",
    "merge_services",
    "newer_document",
    "reconcile",
    "with_zone_state",
]
