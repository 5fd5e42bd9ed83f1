"""All watches of the store lose one answer; a later change of the config is not followed."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import small_site  # noqa: E402
from small_site import (  # noqa: E402
    BROKEN,
    CONFIG_S,
    HELD,
    STABLE_S,
    Site,
    Target,
    make_config,
    route,
)

from standins.rowstore import RowStore  # noqa: E402

#: Seconds for which answers are lost, and until the change that is judged.
LOSS_S = 1.0
CALM_S = 6.0
SERVICES = ("panel-ledger", "artwork-desk")


class LossyStore(RowStore):
    """A store of which some answers are lost; it performs all calls.

    A connection on which an answer was lost delivers nothing further.
    """

    def __init__(self):
        """Starts without losses."""
        super().__init__()
        self.is_losing = False
        self.lost = self.answered = 0

    async def _respond_in_time(self, request):
        reply = await super()._respond_in_time(request)
        self.answered += self.is_losing
        if self.is_losing and request.path.startswith("/rows-feed") and "table=op&" in request.path:
            self.lost += 1
            await asyncio.sleep(3600)
        return reply


def config(version, service):
    """Returns a config with one route to a service."""
    return make_config(version, [route("posters", "/posters/", service)], SERVICES)


async def case(folder):
    """Returns whether requests are still run by the old service."""
    store = LossyStore()
    async with Site(folder, vms=3, store=store) as site:
        for number, service in enumerate(SERVICES * 3):
            zone = list(small_site.ZONES)[number // 2]
            await site.add_target(Target(f"i-{number}", service, zone, site.record))
        await site.put_config(config(1, SERVICES[0]))
        await site.start_vms()
        await asyncio.sleep(STABLE_S)
        store.is_losing = small_site.is_troubled()
        if store.is_losing:
            site.record.add("answers to watches of the operator's rows are lost")
        await site.put_config(config(2, SERVICES[0]))
        await asyncio.sleep(LOSS_S)
        store.is_losing = False
        site.record.add(f"no answer is lost any more; lost {store.lost} of {store.answered}")
        await asyncio.sleep(CALM_S)
        confirmed_at = await site.put_config(config(3, SERVICES[1]))
        await asyncio.sleep(confirmed_at + CONFIG_S + 0.2 - time.monotonic())
        wrong = 0
        for _ in range(20):
            for vm in site.vms:
                _, answer = await site.send(vm, "GET", "/posters/1")
                wrong += answer.body.startswith(SERVICES[0].encode())
            await asyncio.sleep(0.1)
        site.record.add(f"{wrong} of 60 requests were run by the service of the older config")
        print(f"{wrong} of 60 requests were run by the service of the older config")
        return BROKEN if wrong else HELD


if __name__ == "__main__":
    small_site.run_case(case, FOLDER)
