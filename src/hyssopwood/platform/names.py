"""Names of the platform's headers, paths, topics and store keys."""

from __future__ import annotations

from typing import Final

SETTINGS_VARIABLE: Final = "HYSSOPWOOD_BOOT"

READY_PATH: Final = "/hyssopwood/ready"
GRANT_PATH: Final = "/hyssopwood/grant"
RELEASE_PATH: Final = "/hyssopwood/release"
APPEND_PATH: Final = "/hyssopwood/log-append"
READ_PATH: Final = "/hyssopwood/log-read"
NEWEST_PATH: Final = "/hyssopwood/log-newest"

# Names of request and answer headers in lower case, as the gateway's parsers deliver them.
REQUEST_ID: Final = b"request-id"
DEADLINE: Final = b"deadline-ms"
# Digest that servers add to their answers.
SIGNATURE: Final = b"response-signature"
# Id of the server that alone may run the request.
TARGET: Final = b"target-instance"
# Id of the answering server, when it refuses a request addressed to another one.
ANSWERED_BY: Final = b"instance-id"
# Numbers of running requests, waiting requests and slots of the answering server.
SERVER_LOAD: Final = b"server-load"
# "1" in the answers of a server that is leaving.
SERVER_LEAVING: Final = b"server-leaving"
# Requests per second that the answering server takes from all instances together.
SERVER_LIMIT: Final = b"server-limit"
# Milliseconds for which the answering server stays cold.
SERVER_WARMUP: Final = b"warmup-ms"
# Counter in the store's answers that rises by one with each restore from an older copy.
STORE_ERA: Final = "Store-Era"
NOT_EXECUTED: Final = b"not-executed"
SHARD_KEY: Final = b"shard-key"
HANDOVER: Final = b"handover"

# Topics of the store that the operator and the servers write to.
OPERATOR_TOPIC: Final = "keyed.op"
SERVER_TOPIC: Final = "keyed.servers"
CONFIGURATION_KEY: Final = "config"
# Followed by the name of the failure domain that is evacuated.
EVACUATION_PREFIX: Final = "evacuate/"
# Topic that this product writes to.
PLAN_TOPIC: Final = "keyed.hyssopwood"
