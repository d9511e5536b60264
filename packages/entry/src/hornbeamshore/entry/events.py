"""Wake-up of tasks that wait for a change of shared state."""

import trio


class Changed:
    """Condition that any number of tasks can wait for."""

    def __init__(self):
        self._event = trio.Event()

    def notify(self):
        """Wake all tasks that wait."""
        event, self._event = self._event, trio.Event()
        event.set()

    async def wait(self):
        """Return at the next change after this call."""
        await self._event.wait()

    async def wait_until(self, condition, timeout_s=float("inf")):
        """Return whether `condition()` became true within a time.

        The condition is checked at once and after each change.
        """
        with trio.move_on_after(timeout_s):
            while not condition():
                await self.wait()
            return True
        return condition()
