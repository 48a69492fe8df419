Feature: The cause of a failed request is explained from its id and the logs

  Scenario Outline: A request's outcome is explained from recorded logs
    Guards against logs that don't contain the reason why a request failed.
    Given the recorded log of a simulated day
    When request "<request>" is explained
    Then the explanation contains "<outcome>", "<cause>" and "<context>"

    Examples:
      | request          | outcome                       | cause                                     | context                    |
      | c666846ef339dfcd | was refused and has not run   | no-owner: no usable server owned the key  | PLAN_TAKEN version=207     |
      | 13846075d61e7bdb | may have run                  | broken: the connection broke after        | SERVER_SUSPECTED server=   |
      | c74e0fe88eeb5ad2 | was refused and has not run   | server-refused: the server said           | RANGE_RELEASED service=    |

  Scenario: A repeated request is explained by its outcome and the allowance of its retry
    Guards against a repeat whose allowance, sharers and configuration no line shows (incident of
    2026-12-05, CONFIG and BUDGET).
    Given a dispatcher with servers "s1,s2" of a keyless service
    And log lines are written to a file
    When a request to route "idempotent" is sent and the servers answer "broken,broken"
    And request "r1" is explained
    Then the explanation contains "may have run", "shared_by=" and "the newest"

  Scenario: A request that no log line names is reported as unknown
    Guards against an explanation without evidence in the logs.
    Given the recorded log of a simulated day
    When request "ffff" is explained
    Then no explanation is given

  Scenario: Truncated lines and lines of other programs are skipped
    Guards against a command that fails on a truncated line.
    Given the recorded log of a simulated day with truncated and foreign lines
    When request "c74e0fe88eeb5ad2" is explained
    Then the explanation contains "has not run", "server-refused" and "plan 56"

  Scenario: A stalled log reader loses lines but doesn't block logging
    Guards against requests that are blocked by a reader of the log.
    Given a log pipe whose reader has stopped
    When 5000 events are logged
    Then logging took less than 2 s and lines were dropped
    When the reader resumes and one more event is logged
    Then every line read is a complete JSON object and one reports how many were dropped
