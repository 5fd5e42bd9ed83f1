"""The platform's table service, object store and VM list, each behind a protocol."""

from carawaybank.storage.clients import HttpObjectStore, HttpTable, HttpVmList
from carawaybank.storage.models import ListedVm, ObjectStore, Platform, Row, Table, VmList, Write

__all__ = [
    "HttpObjectStore",
    "HttpTable",
    "HttpVmList",
    "ListedVm",
    "ObjectStore",
    "Platform",
    "Row",
    "Table",
    "VmList",
    "Write",
]
