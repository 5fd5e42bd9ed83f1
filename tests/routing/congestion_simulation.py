"""Simulation of VMs that get more requests than they can serve, and of callers that look them up.

A VM serves its requests in the order of arrival at a fixed rate, and what exceeds it waits; its
timers are late by as long. Callers spread their requests over the VMs of their list, which they
keep for the time to live or, a third of them, for three times as long. Levels of congestion reach
look-ups with a delay.
"""

import random
from collections import deque
from typing import NamedTuple

from carawaybank.routing.callerlists import ListedVm, needs_others, select_nearby
from carawaybank.routing.overload import ArrivalQueue
from carawaybank.routing.vmweights import CongestionLevels

#: Seconds between two samples of the delay of an event loop.
TICK_S = 0.1
CALLERS_PER_VM = 30
#: Requests per second that a VM can serve, and that it gets if all VMs get the same.
CAPACITY, RATE = 100.0, 55.0
TTL_S = 2.0
REPORT_DELAY_S = 0.6
MIN_LISTED = 2
#: Wait after which callers have left.
DEADLINE_S = 2.5


class Domain(NamedTuple):
    """A failure domain, its region and the number of its VMs."""

    name: str
    region: str
    vm_count: int


class SimulatedVm:
    """A VM with requests in its kernel.

    Attributes:
        rate: Requests per second that callers send to it.
        known_level: Level of congestion that look-ups apply.
    """

    def __init__(self, name, domain):
        self.name, self.domain = name, domain
        self.capacity, self.rate, self.is_listed = CAPACITY, 0.0, True
        self.backlog = 0.0
        self.known_level = self.level_changes = 0
        self.refused = self.left = 0
        self._queue, self._levels = ArrivalQueue(), CongestionLevels()
        self._reports = deque()

    @property
    def state(self):
        return ListedVm(CAPACITY, self.known_level)

    def advance(self, now, rng):
        arrived = self.rate * TICK_S * rng.uniform(0.5, 1.5)
        self.backlog += arrived
        room = self.capacity * TICK_S
        while self.backlog >= 1 and room > 0:
            wait_s = self.backlog / self.capacity
            self.backlog -= 1
            if self._queue.must_refuse(wait_s, now=now):
                self.refused += 1
                room -= 0.15
            else:
                self.left += wait_s > DEADLINE_S
                room -= 1
        self._update_level(now)

    def _update_level(self, now):
        level, delay_s = self._levels.level, max(0.0, self.backlog - 1) / self.capacity
        self.level_changes += self._levels.record(delay_s, now=now) != level
        self._reports.append((now + REPORT_DELAY_S, self._levels.level))
        while self._reports[0][0] <= now:
            self.known_level = self._reports.popleft()[1]


class CongestionSimulation:
    """A fleet of VMs and their callers.

    Attributes:
        vms: The VMs by name.
        demand: Factor of the requests of each failure domain's callers.
    """

    def __init__(self, domains, *, seed, leads_elsewhere=True):
        self._rng = random.Random(seed)
        self._leads_elsewhere = leads_elsewhere
        self.domains = {domain.name: domain for domain in domains}
        self.vms = {}
        self.callers = []
        for domain in domains:
            for number in range(domain.vm_count):
                name = f"{domain.name}-{number}-{seed}"
                self.vms[name] = SimulatedVm(name, domain)
                for each in range(CALLERS_PER_VM):
                    self.callers.append((f"10.{seed}.{domain.name}.{number}.{each}", domain))
        self.demand = dict.fromkeys(self.domains, 1.0)
        self.now = 0.0
        self._lists = [()] * len(self.callers)
        self._sent = [0.0] * len(self.callers)
        self._due = [self._rng.uniform(0.0, 0.1) for _ in self.callers]
        self._ttl_s = [TTL_S * self._rng.choice((1, 1, 3)) for _ in self.callers]

    def look_up(self, caller, domain):
        listed = [vm for vm in self.vms.values() if vm.is_listed]
        in_region = [vm for vm in listed if vm.domain.region == domain.region]
        nearest = [vm for vm in in_region if vm.domain == domain]
        if len(nearest) < MIN_LISTED:
            nearest = in_region
        states = {vm.name: vm.state for vm in nearest}
        others = {}
        if self._leads_elsewhere and needs_others(states):
            others = {vm.name: vm.state for vm in in_region if vm.name not in states}
        return tuple(
            sorted(select_nearby(caller, states, others, max_listed=64, draw=str(self.now)))
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for index, (caller, domain) in enumerate(self.callers):
                if self.now >= self._due[index]:
                    self._due[index] = self.now + self._ttl_s[index] * self._rng.uniform(0.8, 1.2)
                    self._renew(index, caller, domain)
            for vm in self.vms.values():
                vm.advance(self.now, self._rng)

    def _renew(self, index, caller, domain):
        for name in self._lists[index]:
            self.vms[name].rate -= self._sent[index] / len(self._lists[index])
        self._lists[index] = self.look_up(caller, domain)
        self._sent[index] = RATE / CALLERS_PER_VM * self.demand[domain.name]
        for name in self._lists[index]:
            self.vms[name].rate += self._sent[index] / len(self._lists[index])
