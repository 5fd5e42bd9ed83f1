"""Handles requests to the control address, from siblings and from the command-line tool."""

import asyncio
from collections.abc import Collection, Sequence

import msgspec

from carawaybank import documents
from carawaybank.background import BackgroundTasks
from carawaybank.callers.requests import CallerRequest
from carawaybank.dump import make_dump
from carawaybank.exceptions import DocumentError
from carawaybank.replies import HttpReply
from carawaybank.routing.explanation import Query, explain
from carawaybank.routing.router import Router
from carawaybank.siblings.bootstrap import DEPARTURES_PATH, Bootstrap
from carawaybank.siblings.proofs import ConfigurationProofs
from carawaybank.siblings.tables import CHANGES_PATH, TABLE_PATH, TableServer
from carawaybank.siblings.vms import VmDirectory
from carawaybank.watch import TableWatch

DUMP_PATH = "/v1/dump"
EXPLAIN_PATH = "/v1/explain"
#: Bytes of a query that is decoded; the longest head of a request has 16 KB. A list in JSON uses
#: 20 times its bytes.
_MAX_QUERY_BYTES = 65_536
_JSON = [("content-type", "application/json")]


class ControlHandler:
    """Serves tables and departures to siblings, and the state dump to operators."""

    def __init__(
        self,
        *,
        router: Router,
        vms: VmDirectory,
        watches: Sequence[TableWatch],
        bootstrap: Bootstrap,
        connections: Collection[object],
        proofs: ConfigurationProofs,
        tasks: BackgroundTasks,
    ) -> None:
        """Initializes the handler with the components whose state it serves.

        Args:
            router: Holds the configuration, the targets and the requests in progress.
            vms: Directory of the entry VMs.
            watches: Watches of the tables that this VM follows.
            bootstrap: Serves the departures to siblings that start.
            connections: Open connections of callers.
            proofs: Knows how recently the configuration in force was proven to be current.
            tasks: Background tasks of the process.
        """
        self._router = router
        self._vms = vms
        self._watches = watches
        self._bootstrap = bootstrap
        self._connections = connections
        self._tasks = tasks
        self._tables = TableServer(watches=watches, proof_age_s=proofs.age_s)

    async def handle(self, request: CallerRequest) -> HttpReply:
        """Returns the response to a request; 404 if the path is unknown."""
        if request.path.startswith((TABLE_PATH, CHANGES_PATH)):
            return await self._tables.handle(request)
        if request.path == DEPARTURES_PATH:
            return self._bootstrap.handle(request)
        if request.path == EXPLAIN_PATH:
            return self._explain(request)
        if request.path != DUMP_PATH:
            return HttpReply(404, [], b"")
        dump = make_dump(
            router=self._router,
            vms=self._vms,
            watches=self._watches,
            connections=len(self._connections),
            failures=self._tasks.failing(),
            now=asyncio.get_running_loop().time(),
        )
        return HttpReply(200, _JSON, msgspec.json.encode(dump))

    def _explain(self, request: CallerRequest) -> HttpReply:
        if len(request.body) > _MAX_QUERY_BYTES:
            return HttpReply(400, _JSON, msgspec.json.encode({"detail": "the query is too large"}))
        try:
            query = documents.decode_json(request.body, Query, source=EXPLAIN_PATH)
        except DocumentError as error:
            return HttpReply(400, _JSON, msgspec.json.encode({"detail": str(error)}))
        explanation = explain(self._router, query, now=asyncio.get_running_loop().time())
        return HttpReply(200, _JSON, msgspec.json.encode(explanation))
