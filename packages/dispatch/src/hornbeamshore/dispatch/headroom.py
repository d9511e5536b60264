"""Capacity reserved for the next job of more urgent queues."""

from dataclasses import dataclass

from hornbeamshore.wire.messages import Resources


@dataclass(frozen=True, slots=True)
class TypicalJob:
    """Typical size of the jobs of a queue.

    Attributes
    ----------
    needs : Resources
        Resource request of a task in the first step of the last job.
    mean_tasks : float
        Moving average of the number of tasks in the first step.
    last_seen_at : float
        Trio clock time at which the last job was received.
    """

    needs: Resources
    mean_tasks: float
    last_seen_at: float


class Headroom:
    """Reserves capacity for one job of each active queue of higher priority.

    An urgent job of many short tasks has little slack. Without free capacity when it
    arrives, its tasks would start one at a time as runs of other queues end, and the
    job would be late.

    Parameters
    ----------
    cfg : DispatchSettings
        Scheduling settings.
    containment : Containment
        Tells the confined queues, which could not use the reserved capacity.
    """

    def __init__(self, cfg, containment):
        self._cfg = cfg
        self._containment = containment
        self._typical_jobs = {}

    def record_job(self, job, now):
        """Update the typical job size of the queue of a new job."""
        step = job.spec.steps[0]
        previous = self._typical_jobs.get(job.queue)
        mean_tasks = previous.mean_tasks if previous else step.count
        mean_tasks += (step.count - mean_tasks) * self._cfg.job_size_gain
        self._typical_jobs[job.queue] = TypicalJob(step.needs, mean_tasks, now)

    def allows(self, task, agents, now):
        """Return whether enough capacity for more urgent queues remains after a task.

        Parameters
        ----------
        task : Task
            Task to be placed.
        agents : ServiceAgents
            Usable agents of the service.
        now : float
            Trio clock time.
        """
        task_queue = task.job.queue
        for queue, typical in list(self._typical_jobs.items()):
            if now - typical.last_seen_at > self._cfg.headroom_memory:
                del self._typical_jobs[queue]
                continue
            is_more_urgent = (
                queue.priority < task_queue.priority
                and queue.service == task_queue.service
            )
            if not is_more_urgent or self._containment.is_confined(queue, now):
                continue
            if not self._leaves_headroom(task, typical, agents):
                return False
        return True

    def _leaves_headroom(self, task, typical, agents):
        cpu_per_slot = max(typical.needs.cpu_millis, 1)
        reserved_slots = min(
            typical.mean_tasks,
            self._cfg.max_headroom_share * agents.total_cpu_millis / cpu_per_slot,
        )
        required_slots = reserved_slots + task.step_spec.needs.cpu_millis / cpu_per_slot
        return agents.has_slots(cpu_per_slot, required_slots)
