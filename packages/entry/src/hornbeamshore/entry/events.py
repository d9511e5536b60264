"""Notification of tasks that wait for a change of shared state."""

import trio


class ChangeNotifier:
    """Condition variable without a lock, for any number of waiting tasks."""

    def __init__(self):
        self._event = trio.Event()

    def notify(self):
        """Wake all waiting tasks."""
        event, self._event = self._event, trio.Event()
        event.set()

    async def wait(self):
        """Wait for the next call of `notify`."""
        await self._event.wait()

    async def wait_until(self, condition, timeout_s=float("inf")):
        """Wait until `condition()` is true or the timeout expires.

        The condition is checked at once and after each call of `notify`.

        Returns
        -------
        bool
            Whether the condition is true.
        """
        with trio.move_on_after(timeout_s):
            while not condition():
                await self.wait()
            return True
        return condition()
