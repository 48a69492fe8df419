Feature: Start of a gateway process

  Scenario: The program imports no library that serves only the base product
    Guards against a start that takes twice the time and a third more memory: after a loss of all
    instances nothing is served until the modules are imported.
    When a process imports the gateway's program
    Then it has imported none of "aiohttp, argparse, cattrs, http.server, json5, prometheus_client, sanic"

  Scenario: Metrics are exported as prometheus_client writes them
    Guards against series that change their name, their labels or the form of their values.
    Given metrics with counters, gauges and durations of every form
    Then their text is that of prometheus_client

  Scenario: A counter can't be reduced
    Guards against a rate that is computed from a counter that went back.
    Given metrics with counters, gauges and durations of every form
    Then reducing a counter raises ValueError
