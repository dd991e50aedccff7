"""Coordination: routing, limits, retries, membership, replication and orders."""

from crocusbay.coordination.admission import Admission
from crocusbay.coordination.context import Context
from crocusbay.coordination.document import DocumentQuery, fetch_document
from crocusbay.coordination.entry import order_entries
from crocusbay.coordination.membership import Membership
from crocusbay.coordination.metrics import Metrics
from crocusbay.coordination.objects import ObjectCache
from crocusbay.coordination.order import DifferentOrderError, OrderDesk, OrderRequest
from crocusbay.coordination.peering import Peering, PeeringSetup
from crocusbay.coordination.quarantine import Quarantine
from crocusbay.coordination.replication import Replication
from crocusbay.coordination.runtime import DeploymentRuntime
from crocusbay.coordination.search import Search, SearchQuery, SearchResult

__all__ = [
    "Admission",
    "Context",
    "DeploymentRuntime",
    "DifferentOrderError",
    "DocumentQuery",
    "Membership",
    "Metrics",
    "ObjectCache",
    "OrderDesk",
    "OrderRequest",
    "Peering",
    "PeeringSetup",
    "Quarantine",
    "Replication",
    "Search",
    "SearchQuery",
    "SearchResult",
    "fetch_document",
    "order_entries",
]
