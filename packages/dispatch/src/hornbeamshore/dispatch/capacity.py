"""Index of the usable agents by service, label and free processor capacity.

An entry places each task with a few looks at agents, however many are connected. It
therefore draws candidates at random from the agents with enough free capacity, which
are kept in groups of similar free capacity.
"""

import random

# Free capacities that differ by less than 1/8 share a group.
_MANTISSA_BITS = 4


def _group_of(cpu_millis):
    """Return the number of the group of a free capacity; it grows with the capacity."""
    if cpu_millis <= 0:
        return 0
    exponent = max(cpu_millis.bit_length() - _MANTISSA_BITS, 0)
    return (exponent << _MANTISSA_BITS) + (cpu_millis >> exponent)


class FreeCapacityGroups:
    """Agents in groups of similar free processor capacity.

    Changes and draws take the same time for any number of agents.
    """

    def __init__(self):
        self._groups = {}
        self._places = {}

    def __len__(self):
        return len(self._places)

    def put(self, view):
        """Add an agent, or move it to the group of its current free capacity."""
        group = _group_of(view.free.cpu_millis)
        place = self._places.get(view)
        if place is not None:
            if place[0] == group:
                return
            self.remove(view)
        members = self._groups.setdefault(group, [])
        self._places[view] = group, len(members)
        members.append(view)

    def remove(self, view):
        """Remove an agent, if it is present."""
        group, position = self._places.pop(view, (None, 0))
        if group is None:
            return
        members = self._groups[group]
        last = members.pop()
        if last is not view:
            members[position] = last
            self._places[last] = group, position
        if not members:
            del self._groups[group]

    def draw(self, cpu_millis, count, rng):
        """Return up to `count` random agents that may have a free capacity.

        Parameters
        ----------
        cpu_millis : int
            Free capacity that is needed. The agents of its own group may have a little
            less.
        count : int
            Largest number of agents.
        rng : random.Random
            Source of the random choice.
        """
        groups = self._groups_with(cpu_millis)
        total = sum(map(len, groups))
        if total <= count:
            return [view for members in groups for view in members]
        drawn = []
        offset = 0
        positions = sorted(rng.sample(range(total), count))
        for members in groups:
            end = offset + len(members)
            while positions and positions[0] < end:
                drawn.append(members[positions.pop(0) - offset])
            offset = end
        return drawn

    def all_with(self, cpu_millis):
        """Yield all agents that may have a free capacity; see `draw`."""
        for members in self._groups_with(cpu_millis):
            yield from members

    def _groups_with(self, cpu_millis):
        least = _group_of(cpu_millis)
        return [members for group, members in self._groups.items() if group >= least]


class ServiceAgents:
    """Usable agents of one service.

    Attributes
    ----------
    views : dict of str to AgentView
        Usable agents by agent id.
    total_cpu_millis : int
        Total processor capacity of their targets.
    near, far : FreeCapacityGroups
        Agents in the data centre of this entry, and all others.
    """

    def __init__(self):
        self.views = {}
        self.total_cpu_millis = 0
        self.near = FreeCapacityGroups()
        self.far = FreeCapacityGroups()
        self._by_label = {}
        self._entries = {}

    def put(self, view, *, is_near):
        """Add an agent, or update its place after its free capacity has changed."""
        entry = self._entries.get(view)
        if entry is None or entry[0] is not view.description:
            self.remove(view)
            groups = [self.near if is_near else self.far]
            for label in view.description.labels:
                groups.append(self._by_label.setdefault(label, FreeCapacityGroups()))
            entry = self._entries[view] = view.description, groups
            self.views[view.agent_id] = view
            self.total_cpu_millis += view.description.capacity.cpu_millis
        for group in entry[1]:
            group.put(view)

    def remove(self, view):
        """Remove an agent, if it is present."""
        description, groups = self._entries.pop(view, (None, ()))
        if description is None:
            return
        self.total_cpu_millis -= description.capacity.cpu_millis
        if self.views.get(view.agent_id) is view:
            del self.views[view.agent_id]
        for group in groups:
            group.remove(view)

    def labelled(self, label):
        """Return the `FreeCapacityGroups` of the agents with a label."""
        return self._by_label.get(label) or FreeCapacityGroups()

    def has_slots(self, cpu_per_slot, count):
        """Return whether the free capacity holds a number of slots.

        Looks at about as many agents as there are slots to find.

        Parameters
        ----------
        cpu_per_slot : int
            Processor capacity of a slot, which must be free on one agent.
        count : float
            Number of slots.
        """
        slots = 0
        for pool in (self.near, self.far):
            for view in pool.all_with(cpu_per_slot):
                slots += view.free.cpu_millis // cpu_per_slot
                if slots >= count:
                    return True
        return slots >= count


class CapacityIndex:
    """Usable agents by service.

    Parameters
    ----------
    data_centre : str
        Data centre of this entry.
    rng : random.Random or None
        Source of the random choice of candidates; None for one of its own.
    """

    def __init__(self, data_centre, rng=None):
        self.rng = rng or random.Random()
        self._data_centre = data_centre
        self._services = {}
        self._service_of = {}
        self._empty = ServiceAgents()

    @property
    def is_empty(self):
        """Whether no agent is usable."""
        return not self._service_of

    def service(self, name):
        """Return the `ServiceAgents` of a service."""
        return self._services.get(name, self._empty)

    def update(self, view):
        """Add, move or remove an agent after a change of its state."""
        service = view.description.service if view.is_usable else None
        previous = self._service_of.get(view)
        if previous is not None and previous != service:
            self._services[previous].remove(view)
            del self._service_of[view]
        if service is None:
            return
        self._service_of[view] = service
        agents = self._services.get(service)
        if agents is None:
            agents = self._services[service] = ServiceAgents()
        agents.put(view, is_near=view.data_centre == self._data_centre)
