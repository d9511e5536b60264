"""Capacity reserved for the next job of more urgent queues."""

from dataclasses import dataclass

from hornbeamshore.wire.messages import Resources


@dataclass(frozen=True, slots=True)
class UsualJob:
    """Typical size of the jobs of a queue.

    Attributes
    ----------
    needs : Resources
        Resource request of a task in the first step of the last job.
    tasks : float
        Moving average of the number of tasks in the first step.
    seen_at : float
        Trio clock time at which the last job was received.
    """

    needs: Resources
    tasks: float
    seen_at: float


class Headroom:
    """Reserves capacity for one job of each active queue of higher priority.

    An urgent job of many short tasks has little slack. Without free capacity when it
    arrives, its tasks would start one at a time as runs of other queues end, and the
    job would be late.

    Parameters
    ----------
    cfg : DispatchSettings
        Scheduling settings.
    """

    def __init__(self, cfg):
        self._cfg = cfg
        self._usual = {}

    def job_arrived(self, job, now):
        """Update the typical job size of the queue of a new job."""
        step = job.spec.steps[0]
        known = self._usual.get(job.queue)
        mean = known.tasks if known else step.count
        mean += (step.count - mean) * self._cfg.job_size_gain
        self._usual[job.queue] = UsualJob(step.needs, mean, now)

    def allows(self, task, agents, now):
        """Return whether enough capacity for more urgent queues remains after a task.

        Parameters
        ----------
        task : Task
            Task to be placed.
        agents : list of AgentView
            Usable agents of the service.
        now : float
            Trio clock time.
        """
        mine = task.job.queue
        for queue, usual in list(self._usual.items()):
            if now - usual.seen_at > self._cfg.headroom_memory:
                del self._usual[queue]
                continue
            is_ahead = queue.priority < mine.priority and queue.service == mine.service
            if is_ahead and not self._leaves_room(task, usual, agents):
                return False
        return True

    def _leaves_room(self, task, usual, agents):
        cpu = max(usual.needs.cpu_millis, 1)
        capacity = sum(view.report.capacity.cpu_millis for view in agents)
        kept = min(usual.tasks, self._cfg.max_headroom_share * capacity / cpu)
        wanted = kept + task.spec.needs.cpu_millis / cpu
        places = 0
        for view in agents:
            places += max(view.free.cpu_millis, 0) // cpu
            if places >= wanted:
                return True
        return False
