Feature: Sole ownership of each partition

  The verdict comes from the records of the servers, not from the coordinators. Times are
  simulated: three voters, four instances, three servers, callers on every instance.

  Scenario Outline: A fault leaves one owner at a time and no assignment lost
    Guards against two owners after a pause, a cut connection, a late or a lost message.
    Given an ownership cluster whose servers "<kind>" fencing
    When the ownership fault "<fault>" lasts <ms> ms while partitions move
    Then the servers' records show one owner at a time
    And every assignment is in force again
    And no slot was overcommitted or leaked

    Examples:
      | kind         | fault                            | ms   |
      | check        | coordinator paused               | 200  |
      | check        | coordinator paused               | 1000 |
      | do not check | coordinator paused               | 1000 |
      | check        | server paused                    | 200  |
      | check        | server paused                    | 1000 |
      | do not check | server paused                    | 1000 |
      | check        | coordinator and server paused    | 1000 |
      | do not check | coordinator and server paused    | 1000 |
      | check        | coordinator cut from log         | 1000 |
      | do not check | coordinator cut from log         | 1000 |
      | check        | coordinator cut from peers       | 1000 |
      | do not check | coordinator cut from peers       | 1000 |
      | check        | coordinator cut from its server  | 1000 |
      | do not check | coordinator cut from its server  | 1000 |
      | check        | coordinator cut from log, peers  | 1000 |
      | do not check | coordinator cut from log, peers  | 1000 |
      | check        | coordinator cut from log, server | 1000 |
      | do not check | coordinator cut from log, server | 1000 |
      | check        | coordinator cut from everything  | 1000 |
      | do not check | coordinator cut from everything  | 1000 |
      | check        | answers of the server lost       | 300  |
      | check        | answers of the server lost       | 1000 |
      | do not check | answers of the server lost       | 1000 |
      | check        | messages delayed                 | 1000 |
      | do not check | messages delayed                 | 1000 |
      | check        | coordinator killed               | 500  |
      | do not check | coordinator killed               | 500  |
      | check        | server killed                    | 600  |
      | do not check | server killed                    | 600  |
      | check        | log unavailable                  | 2000 |

  Scenario Outline: A random schedule of faults leaves one owner at a time
    The seeds are those whose schedules once showed a fault of the product: a grant that a paused
    server read after its lease was renewed (145), and work under a superseded token (156).
    When the random ownership schedule <seed> runs
    Then it leaves one owner at a time, nothing lost and no slot leaked

    Examples:
      | seed |
      | 34   |
      | 145  |
      | 156  |
      | 2026 |

  Scenario: A server is handed over without waiting for its lease
    Guards against a rolling restart that stops every key for the length of a lease.
    Given an ownership cluster whose servers "check" fencing
    When the ownership coordinator of a server hands it over
    Then another coordinator serves its partitions within 150 ms
    And the log no longer awaits the old coordinator
    And the servers' records show one owner at a time

  Scenario: A lost server's keys are served although their grants can't be recorded
    Guards against entries that keep asking for a lost server while the log refuses appends.
    Given an ownership cluster whose servers "check" fencing
    When a server is killed and the log refuses the appends of all coordinators
    Then requests for its keys are answered by other servers

  Scenario: A leaving server gets no permit after its grace
    Guards against new work on a server that is about to be stopped.
    Given an ownership cluster whose servers "check" fencing
    When a server is leaving and its partitions have no other owner yet
    Then it still runs requests after 2500 ms and none after 3300 ms

  Scenario: A long request defers a planned move
    Guards against a straggler that makes its whole partition unavailable.
    Given an ownership cluster whose servers "check" fencing
    When a partition shall move while a request runs for 900 ms on it
    Then the partition is served by its old owner after 400 ms
    And the partition is served by its new owner after 2500 ms
    And the servers' records show one owner at a time
