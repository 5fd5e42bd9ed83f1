"""In-memory fakes of the platform that fail at chosen calls."""

from carawaybank.exceptions import PlatformError
from standins.platform import SimulatedPlatform


class FailurePlan:
    """Fails the calls with the given numbers, before or after their effect takes place."""

    def __init__(self, *, before=(), after=()):
        self.before = set(before)
        self.after = set(after)
        self.calls = 0

    def call(self, effect, *, writes):
        number = self.calls
        self.calls += 1
        if number in self.before:
            raise PlatformError(message="no response", may_have_run=writes)
        result = effect()
        if number in self.after:
            raise PlatformError(message="response lost", may_have_run=writes)
        return result


class FakeTable:
    """A platform table in memory; ``plan`` decides which calls fail."""

    def __init__(self, *, platform: SimulatedPlatform, plan: FailurePlan | None = None):
        self._platform = platform
        self.plan = plan or FailurePlan()

    def get(self, key):
        return self.plan.call(lambda: self._platform.rows.get(key), writes=False)

    def scan(self, prefix, *, after="", limit=100):
        keys = sorted(k for k in self._platform.rows if k.startswith(prefix) and k > after)
        return self.plan.call(lambda: [self._platform.rows[k] for k in keys[:limit]], writes=False)

    def commit(self, writes):
        sent = [write._asdict() for write in writes]
        return self.plan.call(lambda: self._platform.commit(sent), writes=True)


class FakeObjects:
    """An object store in memory that never fails."""

    def __init__(self, *, platform: SimulatedPlatform):
        self._platform = platform

    def get(self, key):
        return self._platform.objects.get(key)

    def put(self, key, data):
        self._platform.objects[key] = data

    def list(self, prefix):
        return sorted(key for key in self._platform.objects if key.startswith(prefix))
