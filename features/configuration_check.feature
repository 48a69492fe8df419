Feature: A configuration is checked before it is published

  Scenario Outline: <fault> is reported as <severity>
    Guards against a configuration that is published although requests can't be served by it.
    Given the configuration of the adapter's tests with <change>
    When the command "configuration check FILE" is run
    Then the command exits with <code> and prints "<severity>" and "<text>"

    Examples:
      | fault                                | change                                                     | severity | code | text                                  |
      | nothing                              | nothing                                                    |          | 0    | 0 errors, 0 warnings                  |
      | a service that isn't defined         | rules.0.action = {"service": "x", "timeout_s": 1}           | error    | 4    | service x isn't defined               |
      | a prefix that never matches          | rules.0.match.path_prefix = "pigs/list/"                    | error    | 4    | doesn't begin and end with a slash    |
      | a prefix without its last slash      | rules.0.match.path_prefix = "/pigs/list"                    | error    | 4    | doesn't begin and end with a slash    |
      | a prefix with a query                | rules.0.match.path_prefix = "/a?b/"                         | error    | 4    | without its query                     |
      | a prefix that exceeds the headers    | limits.max_header_bytes = 6                                 | error    | 4    | longer than the headers may be        |
      | two routes of one prefix             | rules.0.match.path_prefix = "/pigs/"                        | error    | 4    | only the last one matches             |
      | a timeout of nothing                 | rules.0.action.timeout_s = 0                                | error    | 4    | no request is answered                |
      | a timeout below zero                 | rules.0.action.timeout_s = -1                               | error    | 4    | no request is answered                |
      | a target beyond the timeout          | rules.0.target_latency_s = 9                                | warning  | 0    | longer than the timeout               |
      | a weight of zero                     | rules.0.action.traffic_split.1.weight = 0                   | warning  | 0    | its weight is 0                       |
      | a weight below zero                  | rules.0.action.traffic_split.1.weight = -2                  | error    | 4    | the weight of service desk is -2      |
      | a negative priority                  | rules.0.priority = -1                                       | error    | 4    | the priority is -1                    |
      | a service that no route leads to     | clusters.2 = {"name": "spare", "max_connections": 4}         | warning  | 0    | no route leads to it                  |
      | a service without connections        | clusters.1.max_connections = 0                              | warning  | 0    | it accepts 0 connections              |
      | a rate without a warm-up time        | clusters.1.warmup_per_s = 5                                 | warning  | 0    | states no warm-up time                |
      | contradictory timeouts of callers    | limits.idle_timeout_s = 0.5                                 | warning  | 0    | longer than the idle timeout          |
      | a limit of zero                      | limits.max_body_bytes = 0                                   | error    | 4    | expected a positive number            |

  Scenario Outline: Every malformed entry is reported with its place
    Guards against a check that ends at the first malformed entry, or ends with a traceback.
    Given the configuration of the adapter's tests with <change>
    When the command "configuration check FILE" is run
    Then the command exits with 3 and prints "<place>" and "<text>"

    Examples:
      | change                                         | place                             | text            |
      | rules.1.action = 3                             | $.listeners[0].route_rules[1]     | TypeError       |
      | rules.1.action.timeout_s = "soon"              | $.listeners[0].route_rules[1]     | ValueError      |
      | clusters.1 = null                              | $.clusters[1]                     | TypeError       |
      | clusters.1.name = "portal"                     | $.clusters                        | 2 services      |
      | limits = []                                    | $.limits                          | expected dict   |
      | limits.max_header_bytes = "x"                  | $.limits                          | ValueError      |
      | version = -1                                   | $                                 | out of range    |

  Scenario: What differs from the version in force is shown
    Guards against a change of limits or routes that its author doesn't see.
    Given the configuration of the adapter's tests with rules.0.action.timeout_s = 9
    And the version in force is that of the adapter's tests with clusters.2 = {"name": "spare", "max_connections": 4}
    When the command "configuration check FILE --in-force OLD" is run
    Then the command exits with 4 and prints "never comes into force" and "removed"
    And it prints "timeout_s" and "1.2"

  Scenario: The version in force is read from the store
    Guards against a comparison with a file that isn't in force any more.
    Given the configuration of the adapter's tests with version = 99
    And a store whose operator's topic holds the configuration of the adapter's tests
    When the command "configuration check FILE --store STORE --json" is run
    Then the command exits with 0 and prints "differences" and "version"

  Scenario: A store without a configuration is reported
    Guards against a comparison with nothing that looks like no difference.
    Given the configuration of the adapter's tests with nothing
    And a store without a configuration
    When the command "configuration check FILE --store STORE" is run
    Then the command exits with 8 and prints "holds no configuration" and ""
