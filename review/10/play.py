"""Two of three entry VMs are lost for good; clients ask the third one where to connect."""

import asyncio
import json
import sys
from pathlib import Path
from urllib.parse import urlencode

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import rig  # noqa: E402

ZONES = {"regina": "sask", "saskatoon": "sask", "calgary": "alberta"}
STABLE_S, LATE_S = 3.0, 3.0
#: Answers that the rule allows to name a machine that is gone.
ALLOWED = 3
WARM_UP_S, CALM_S, MEASURED_S, LOOKUP_S = 5.0, 4.0, 20.0, 0.5


async def work(
    server: rig.Server, method: str, path: str, headers: dict[str, str], body: bytes
) -> tuple[int, bytes]:
    """Answers a request."""
    await asyncio.sleep(0.1)
    return 200, b"done"


async def look_up(vm: rig.Vm, zone: str) -> list[str]:
    """Returns the addresses in a VM's answer to a client; none without an answer within 1 s."""
    query = {"name": rig.HOST, "region": ZONES[zone], "zone": zone}
    try:
        async with asyncio.timeout(1.0):
            answer = await rig.call(vm.directory, f"/resolve?{urlencode(query)}", [])
    except (OSError, TimeoutError):
        return []
    return json.loads(answer.body)["addrs"] if answer.status == 200 else []


async def script(world: rig.World) -> bool:
    """Returns whether DRAIN was broken."""
    await world.start_store()
    for zone in ZONES:
        for number in range(2):
            await world.add_server(
                name=f"i-{zone}-{number}", service="dispatch", zone=zone, work=work
            )
    status = rig.route("job-status", "/lohu930/", "dispatch")
    world.store.put("op", "config", rig.configuration(7, status, services=["dispatch"]))
    world.add_vms(ZONES, regions=ZONES, contracts=["base", "drain", "recover", "platform"])
    await world.start_vms(world.vms)
    await asyncio.sleep(WARM_UP_S + CALM_S)
    staying, *lost = world.vms
    lost_at = world.record.now
    if world.trouble != "0":
        await world.kill_vms(lost)
    dead = {vm.front for vm in lost if not vm.is_running}
    wrong, answers, served, failed = 0, 0, 0, 0
    while world.record.now < lost_at + STABLE_S + LATE_S + MEASURED_S:
        for zone in ZONES:
            addresses = await look_up(staying, zone)
            is_late = world.record.now > lost_at + STABLE_S + LATE_S
            is_wrong = staying.front in addresses and bool(dead.intersection(addresses))
            wrong += is_late and is_wrong
            answers += is_late and bool(addresses)
            world.record.add("client in", zone, "is told", addresses, "wrong" * is_wrong)
            # One request to each address, as clients pick one at random.
            for address in addresses if is_late else ():
                request_id = f"q{answers}-{address}"
                answer = await rig.ask(address, "/lohu930/1", request_id, key="1", deadline_ms=1000)
                world.record.add("answered", request_id, answer.status)
                served += answer.status == 200
                failed += answer.status != 200
        await asyncio.sleep(LOOKUP_S)
    if not staying.is_running or not answers:
        raise rig.NotRunError("the VM ended by itself, or gave no answer")
    world.record.say(f"{wrong} of {answers} late answers name a machine that is gone")
    world.record.say(f"requests to the addresses in them: {served} served, {failed} failed")
    return wrong > ALLOWED


if __name__ == "__main__":
    rig.play(script, folder=FOLDER)
