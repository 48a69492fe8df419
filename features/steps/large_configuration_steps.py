"""Steps for large configurations in series, read over narrow links."""

from behave import given, then, when

from support.configuration_series import Disturbance, NarrowDeployment, Series


def _parse_disturbances(text):
    if text == "nothing":
        return ()
    items = [part.split(" at ") for part in text.split(" and ")]
    return tuple(Disturbance(float(at), kind) for kind, at in items)


@given("instances with links of {mbit_s:g} Mbit/s to the store")
def step_narrow_links(context, mbit_s):
    deployment = context.deployment = NarrowDeployment(mbit_s)
    context.add_cleanup(lambda: context.run(deployment.stop()))
    context.run(deployment.start(["s1", "s2", "s3"], ["i1", "i2", "i3"]))


@when(
    "{count:d} versions with {routes:d} more routes are published every {interval_s:g} s, with"
    " {disturbances}"
)
def step_series(context, count, routes, interval_s, disturbances):
    context.series = Series(context.deployment)
    context.run(context.series.play(count, interval_s, routes, _parse_disturbances(disturbances)))


@then(
    "each version or a later one is in force at each instance {bound_s:g} s after its publication,"
    " or {contact_s:g} s after connections were last lost"
)
def step_in_force_in_time(context, bound_s, contact_s):
    assert len(context.series.taken()) >= 3
    late = context.series.late(bound_s, contact_s)
    assert not late, (len(late), late[:3])
