"""Steps for the stand-in platform."""

import asyncio
import json

import aiohttp
from aiohttp import web
from behave import then

from hyssopwood_standins.platform import Platform, PlatformFaults
from support.standin_http import exchange, running

RECORDS = "/v1/streams/s/records"
LONG_POLL_MS = 400
# The balancer needs two polls; the rest allows for a busy machine.
BALANCER_LIMIT_S = 5


async def _poll_during_outage(session, base):
    url = f"{base}{RECORDS}?from=0&wait_ms={LONG_POLL_MS * 100}"
    poll = asyncio.create_task(exchange(session, "GET", url))
    await asyncio.sleep(0.05)
    await exchange(session, "POST", f"{base}/control", '{"outage": true}')
    return await poll


def _request(command, words):
    argument = words[0] if words else ""
    if command == "control":
        return "POST", "/control", json.dumps({argument: json.loads(words[1])})
    if command == "put":
        body = json.dumps({"address": "127.0.0.1:9", "state": words[1]})
        return "PUT", f"/v1/instances/{argument}", body
    if command == "append-bytes":
        return "POST", RECORDS, bytes.fromhex(argument)
    return {
        "append": ("POST", RECORDS, argument),
        "append-large": ("POST", RECORDS, "x" * int(argument) if argument.isdecimal() else ""),
        "read": ("GET", f"{RECORDS}?from={argument}", ""),
        "list": ("GET", "/v1/instances", ""),
        "delete": ("DELETE", f"/v1/instances/{argument}", ""),
    }[command]


async def _exchange_line(context, session, base, text):
    command, *words = text.split()
    if command == "poll-outage":
        return await _poll_during_outage(session, base)
    method, path, body = _request(command, words)
    return await exchange(session, method, base + path, body)


async def _check_lines(context, lines):
    app = Platform(PlatformFaults(), context.timers.now).app()
    async with running(app) as (base, _), aiohttp.ClientSession() as session:
        for line in lines:
            if line.startswith("wait "):
                context.timers.jump(float(line.split()[1]))
                continue
            text, expected = line.split(" -> ")
            status, _, body = await _exchange_line(context, session, base, text)
            expected_status, _, expected_body = expected.partition(" ")
            assert status == expected_status, f"{text}: {status} {body}"
            assert expected_body in body, f"{text}: {body}"


@then('the stand-in platform answers each line of "{lines}"')
def step_lines(context, lines):
    context.run(_check_lines(context, [line.strip() for line in lines.split(";")]))


def _instance_app(status):
    async def ready(_):
        return web.Response(status=status)

    app = web.Application()
    app.router.add_get("/hyssopwood/ready", ready)
    return app


async def _listed_targets(session, base):
    url = f"{base}/v1/balancer/targets"
    async with asyncio.timeout(BALANCER_LIMIT_S):
        while True:
            _, _, body = await exchange(session, "GET", url)
            targets = json.loads(body)["targets"]
            if targets:
                return [target["name"] for target in targets]
            await asyncio.sleep(0.05)


async def _check_balancer():
    async with (
        running(Platform(PlatformFaults()).app()) as (base, _),
        running(_instance_app(200)) as (ready, _),
        running(_instance_app(503)) as (unready, _),
        aiohttp.ClientSession() as session,
    ):
        for name, url in (
            ("ready", ready),
            ("unready", unready),
            ("unreachable", "http://127.0.0.1:9"),
        ):
            body = json.dumps({"address": url.removeprefix("http://"), "state": "live"})
            await exchange(session, "PUT", f"{base}/v1/instances/{name}", body)
        assert await _listed_targets(session, base) == ["ready"]


@then("the stand-in balancer lists only the ready instance")
def step_balancer(context):
    context.run(_check_balancer())
