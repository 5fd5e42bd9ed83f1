"""Node without sockets: how its components are connected."""

import asyncio

from carawaybank import deployment
from carawaybank.node import Node
from carawaybank.platform.adapter import PlatformAdapter
from tests.test_deployment import SETTINGS


def test_changes_are_batched_only_until_requests_arrive(tmp_path, capfd):
    """A target may turn cold, and a cold target may get only a limited number of requests.

    If changes were still batched while requests are served, VMs would learn up to 0.5 s apart that
    a target is cold, and together send it more than allowed.
    """

    async def run():
        path = tmp_path / "node.toml"
        path.write_text(SETTINGS)
        settings = deployment.load(path)
        adapter = PlatformAdapter(store_address=settings.store_address, regions=settings.regions)
        node = Node(deployment=settings, adapter=adapter, settings_path=path)
        assert node._batch_delay_s() > 0
        node._router.targets.has_routed_requests = True
        assert node._batch_delay_s() == 0

    asyncio.run(run())
