Feature: Stand-in report detects every violation of a guarantee

  Scenario Outline: Stand-in report measures double ownership
    Guards against a run with two owners in which the report finds no violation.
    Given the stand-in case "<case>"
    Then the stand-in measure "double_owner_ms" is <double_owner_ms>
    And the stand-in measure "owner_changes" is <owner_changes>

    Examples:
      | case                                  | double_owner_ms | owner_changes |
      | released before granted elsewhere     | 0               | 1             |
      | granted elsewhere before released     | 500             | 1             |
      | lapsed before granted elsewhere       | 0               | 1             |
      | never released                        | 1000            | 1             |
      | killed before granted elsewhere       | 0               | 1             |
      | killed after granted elsewhere        | 250             | 1             |
      | killed after its lease had lapsed     | 0               | 1             |
      | restarted before granted elsewhere    | 0               | 1             |
      | run outlives its grant                | 300             | 1             |
      | unfenced grant never released         | 0               | 1             |
      | unfenced run under another's grant    | 200             | 1             |
      | one partition runs on two servers     | 200             | 0             |
      | key runs in shard and own partition   | 400             | 0             |
      | key's own partition granted elsewhere | 100             | 0             |
      | same key in two services              | 0               | 0             |

  Scenario Outline: Stand-in report measures the guarantees of requests
    Guards against a violation of the request guarantees that the report misses.
    Given the stand-in case "<case>"
    Then the stand-in measure "<measure>" is <value>
    And the stand-in violations name <named>

    Examples:
      | case                                          | measure            | value | named              |
      | one good answer                               | answered           | 1     | nothing            |
      | one good answer                               | wrong_answers      | 0     | nothing            |
      | answered while two servers own its partition  | double_owner_ms    | 1500  | double_owner_ms    |
      | answer of another request                     | wrong_answers      | 1     | wrong_answers      |
      | answer cut off                                | incomplete_answers | 1     | incomplete_answers |
      | damaged answer reported as unknown            | incomplete_answers | 0     | nothing            |
      | non-idempotent request ran twice              | double_runs        | 1     | double_runs        |
      | non-idempotent request ran on three servers   | double_runs        | 2     | double_runs        |
      | idempotent request ran twice                  | double_runs        | 0     | nothing            |
      | reported not run but ran                      | not_run_but_ran    | 1     | not_run_but_ran    |
      | reported not run but crashed its server       | not_run_but_ran    | 1     | not_run_but_ran    |
      | reported not run and refused by its server    | not_run_but_ran    | 0     | nothing            |
      | reported not run after an earlier attempt ran | not_run_but_ran    | 0     | nothing            |
      | reported not run and ran without a number     | not_run_but_ran    | 1     | not_run_but_ran    |
      | nothing answered                              | answered           | 0     | no request         |

  Scenario Outline: Stand-in report measures how long a key was unavailable
    Guards against a gap in service that the report misses or wrongly reports.
    Given the stand-in case "<case>"
    Then the stand-in measure "max_key_unavailable_ms" is <value>

    Examples:
      | case                                           | value |
      | one good answer                                | 10    |
      | answered after a wait for a new owner          | 700   |
      | refused until a new owner serves               | 600   |
      | no demand between two answers                  | 10    |
      | refused because it already ran                 | 10    |
      | running on a frozen server                     | 900   |
      | running on a killed server                     | 400   |
      | stuck on a frozen server after its replacement | 400   |
      | pending while a working server was replaced    | 900   |

  Scenario: Stand-in report has exactly the documented keys
    Guards against a report that its readers can't parse.
    Given the stand-in case "one good answer"
    Then the stand-in measures have the keys
      """
      requests, answered, not_run, unknown, wrong_answers, incomplete_answers, double_runs,
      not_run_but_ran, double_owner_ms, max_key_unavailable_ms, owner_changes, ticket_in_force_ms,
      p50_ms, p99_ms
      """

  Scenario Outline: Stand-in demo fails when a guarantee was violated
    Guards against a demo that finds a violation and still exits with 0.
    Given the stand-in case "<case>"
    Then the stand-in demo writes the measures and ends with exit code <code>

    Examples:
      | case                                         | code |
      | one good answer                              | 0    |
      | answered while two servers own its partition | 1    |
      | non-idempotent request ran twice             | 1    |
      | reported not run but ran                     | 1    |
      | answer of another request                    | 1    |
      | answer cut off                               | 1    |
      | nothing answered                             | 1    |

  Scenario: Stand-in report shows that a ticket never came into force
    Guards against a missing measurement that passes as a good one.
    Given the stand-in case "one good answer"
    When the stand-in ticket did not come into force
    Then the stand-in violations name ticket

  Scenario: Stand-in report skips the unfinished last line of a killed process
    Guards against a report that fails on the records of a killed server.
    When a stand-in record file ends in an unfinished line
    Then the stand-in reader returns the finished lines

  Scenario Outline: Stand-in percentiles are nearest-rank values
    Guards against an off-by-one in the reported latencies.
    Then the stand-in percentile <share> of 1 to <count> is <value>

    Examples:
      | share | count | value |
      | 0.5   | 100   | 50    |
      | 0.99  | 100   | 99    |
      | 0.99  | 10    | 10    |
      | 0.5   | 1     | 1     |
