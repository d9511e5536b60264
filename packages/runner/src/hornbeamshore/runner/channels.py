"""Use of the channels to a target for its takeover and for the calls after it."""

import trio

from hornbeamshore.runner.target import TargetFenced

# Pause before the next call to a target that did not answer or is still stopping runs.
TARGET_RETRY_PAUSE_S = 0.05


async def read_clock(channel, acknowledged):
    """Return a reading, in ms, of the clock of the incarnation that a channel expects.

    Raises the errors of `TargetChannel.poll`, except `TargetFenced`.
    """
    try:
        state = await channel.poll(0.0, acknowledged)
    except TargetFenced as exc:
        return exc.clock_ms
    return state.clock_ms


async def stop_leftover_runs(channel, acknowledged):
    """Stop the runs of earlier agents and incarnations.

    Returns
    -------
    int
        Number of the last ended run that was acknowledged.

    Raises
    ------
    TargetReplaced
        If another incarnation answers.
    TargetUnresponsive
        If the target may still be running something.
    """
    while True:
        state = await channel.poll(0.0, acknowledged)
        acknowledged = max([acknowledged, *(ended.number for ended in state.ended)])
        if not state.running and not state.ended:
            return acknowledged
        for item in state.running:
            await channel.stop(item.task, item.run)
        await trio.sleep(TARGET_RETRY_PAUSE_S)


class ChannelCache:
    """Caches one channel to the target of the current takeover."""

    def __init__(self, driver):
        self._driver = driver
        self._takeover = None
        self._channel = None

    async def open(self, takeover):
        """Return the channel of a takeover, after closing that of an earlier one."""
        if takeover != self._takeover:
            if self._channel is not None:
                await self._channel.aclose()
            self._channel = self._driver.open_channel(
                takeover.target, takeover.fencing_token
            )
            self._takeover = takeover
        return self._channel
