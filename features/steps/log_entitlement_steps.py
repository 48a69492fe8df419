"""Steps for the model of entitlement."""

from behave import then, when

from support.entitlement_model import EntitlementModel


@when("the log entitlement model runs {steps:d} steps with each seed from {first:d} to {last:d}")
def step_run_model(context, steps, first, last):
    context.models = []
    for seed in range(first, last + 1):
        model = EntitlementModel(seed)
        context.models.append(model)
        for number in range(steps):
            try:
                model.step()
            except AssertionError as error:
                raise AssertionError(f"seed {seed}, step {number}: {error}") from error


@then("the log entitlement model saw takeovers, acquisitions and rejections")
def step_model_active(context):
    # A model in which nothing happens would hold every guarantee.
    for name in ("took_over", "acquired", "rejected"):
        total = sum(getattr(model, name) for model in context.models)
        assert total >= 10 * len(context.models), f"{name}: {total}"
