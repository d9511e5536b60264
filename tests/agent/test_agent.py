"""An agent between an entry and the stand-in target, over real sockets."""

from hornbeamshore.base.codes import ResultCode


async def test_task_runs_once_for_its_owner(world, helpers):
    """Guards against a start that is run without a fence, or answered by another."""
    async with world() as this:
        start = helpers.start("job-1", run_ms=1, echo="kanten")
        await this.entry.until(lambda: this.entry.announced)
        this.entry.conn.send(start)
        (refused,) = await this.entry.results(1)
        reply = await this.entry.fence(1)
        this.entry.conn.send(start)
        result = (await this.entry.results(2))[1]
    assert refused.code == ResultCode.STALE_EPOCH
    assert (reply.code, reply.records) == (ResultCode.OK, ())
    assert (result.code, result.status, result.body) == (0, 200, b'{"echo": "kanten"}')
    assert [line["event"] for line in this.log()] == ["start", "end"]
