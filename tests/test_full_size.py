"""Scenes at the full size and rate of a deployment; all others are swept by ``finchswitch rehearse --deployment``."""

import pytest

from finchswitch.simulation.deployments import DEPLOYMENTS
from finchswitch.simulation.sweep import perform


@pytest.mark.parametrize("scene, deployment", [("steady", "zuerich"), ("big-loss", "hobart")])
def test_scene_holds_at_full_size(scene, deployment):
    history, faults = perform(scene, 1, DEPLOYMENTS[deployment])
    assert faults == [] and len(history.calls) > 500
