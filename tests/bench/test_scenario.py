"""Set-up of the fleets of the failure tests."""

import pytest

from hornbeamshore.base.codes import ResultCode, refuse
from hornbeamshore.bench import scenario
from hornbeamshore.bench.caller import ConfigRefused


@pytest.mark.parametrize(
    ("code", "expected"),
    [
        (None, True),
        (ResultCode.STORE_UNAVAILABLE, False),
        (ResultCode.CONFIG_INVALID, ConfigRefused),
    ],
    ids=["applied", "no answer", "refused"],
)
async def test_deployment_is_applied_once_store_answers(monkeypatch, code, expected):
    """Guards against a failed set-up when a busy store misses one timeout."""

    async def apply_config(store_address, path):
        if code is not None:
            raise ConfigRefused(refuse(code))

    monkeypatch.setattr(scenario, "apply_config", apply_config)
    if expected is ConfigRefused:
        with pytest.raises(ConfigRefused):
            await scenario.try_apply_deployment("store")
    else:
        assert await scenario.try_apply_deployment("store") is expected
