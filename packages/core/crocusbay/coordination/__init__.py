"""Coordination: routing, limits, retries, membership, replication and orders."""

from crocusbay.coordination.admission import AdmissionControl
from crocusbay.coordination.context import Context
from crocusbay.coordination.document import DocumentQuery, fetch_document
from crocusbay.coordination.entry import rank_entry_addresses
from crocusbay.coordination.membership import Membership
from crocusbay.coordination.metrics import Metrics
from crocusbay.coordination.object_cache import ObjectCache
from crocusbay.coordination.order import (
    OrderCoordinator,
    OrderIdConflictError,
    OrderRequest,
)
from crocusbay.coordination.peering import Peering, PeeringSetup
from crocusbay.coordination.quarantine import Quarantine
from crocusbay.coordination.replication import Replication
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.search import Search, SearchQuery, SearchResult

__all__ = [
    "AdmissionControl",
    "Context",
    "DeploymentRuntime",
    "OrderIdConflictError",
    "DocumentQuery",
    "Membership",
    "Metrics",
    "ObjectCache",
    "OrderCoordinator",
    "OrderRequest",
    "Peering",
    "PeeringSetup",
    "Quarantine",
    "Replication",
    "Search",
    "SearchQuery",
    "SearchResult",
    "fetch_document",
    "rank_entry_addresses",
]
