"""The wiring of an entry VM, without sockets."""

import asyncio

from carawaybank import deployment
from carawaybank.node import Node
from carawaybank.platform.adapter import PlatformAdapter
from tests.test_deployment import SETTINGS


def test_changes_gather_only_until_requests_come(tmp_path, capfd):
    async def run():
        path = tmp_path / "node.toml"
        path.write_text(SETTINGS)
        settings = deployment.load(path)
        adapter = PlatformAdapter(store_address=settings.store_address, regions=settings.regions)
        node = Node(deployment=settings, adapter=adapter, settings_path=path)
        assert node._batch_delay_s() > 0
        node._router.targets.is_serving = True
        assert node._batch_delay_s() == 0

    asyncio.run(run())
