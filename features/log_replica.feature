Feature: Replicas of the log

  Scenario Outline: An append succeeds once although <fault>
    Guards against a success that is reported before it is read back, and against a second effect.
    Given log replicas r1, r2, r3
    When the log has <refused> refusals, <throttled> throttles and <lost> lost answers to give
    And replica "r1" starts to append a join while its reads are <reads>
    And <seconds> s pass on the log
    And the reads of replica "r1" go on
    Then the log append is accepted
    And the log holds <copies> copies of the record and one member on every replica

    Examples:
      | fault                           | refused | throttled | lost | reads  | seconds | copies |
      | nothing happens                 | 0       | 0         | 0    | normal | 0       | 1      |
      | the log refuses                 | 3       | 0         | 0    | normal | 1       | 1      |
      | the log is over its rate        | 0       | 2         | 0    | normal | 2       | 1      |
      | the answer is lost              | 0       | 0         | 1    | normal | 0       | 1      |
      | answers are lost and reads hang | 0       | 0         | 2    | held   | 2       | 3      |

  Scenario Outline: An append that isn't read back is never a success: <why>
    Guards against a writer that trusts the log's answer alone.
    Given log replicas r1, r2, r3
    When replica "r1" starts to append a join while its log access is <access>
    And <seconds> s pass on the log
    Then the log append <outcome>

    Examples:
      | why                 | access      | seconds | outcome                             |
      | still within limits | held        | 9       | is undecided                        |
      | reads hang          | held        | 11      | fails with "AppendUnconfirmedError" |
      | log out of reach    | unreachable | 11      | fails with "AppendUnconfirmedError" |

  Scenario: A replica has one append outstanding at a time
    Guards against a late first record that a later sequence number turns into a duplicate.
    Given log replicas r1, r2, r3
    When replica "r1" starts 3 appends while its reads are held
    Then the log has got 1 append
    When the reads of replica "r1" go on
    Then the log has got 3 appends

  Scenario: The record limit is checked before the log is asked
    Guards against a record that is refused for ever.
    Given log replicas r1, r2, r3
    When replica "r1" appends a checkpoint of 2000000 characters
    Then the log append fails with "RecordTooLargeError"
    And the log has got 0 appends

  Scenario: Every replica applies a record as soon as it is appended
    Guards against a tail that waits for its next poll.
    Given log replicas r1, r2, r3
    When replica "r1" starts to append a join while its reads are normal
    And 0 s pass on the log
    Then all log replicas are at offset 0

  Scenario: Two operators publish the same number
    Guards against two tickets that both count as in force, or none.
    Given log replicas r1, r2, r3
    When replicas "r1" and "r2" publish ticket 1 with different content at once
    Then exactly one log ticket is accepted and the other "lost-race" names the winner
    And all log replicas hold the same state

  Scenario Outline: The unreadable record <text> is skipped by every replica
    Guards against one bad record that stops every instance.
    Given log replicas r1, r2, r3
    When the raw log record <text> is written
    And replica "r2" starts to append a join while its reads are normal
    And 1 s pass on the log
    Then all log replicas are at offset 1
    And all log replicas hold the same state

    Examples:
      | text                                                              |
      | nonsense                                                          |
      | []                                                                |
      | {"id":"a:1","writer":"a"}                                         |
      | {"id":"a:1","kind":"other","writer":"a"}                          |
      | {"id":"a:1","kind":"leave","writer":"a","instance":1}             |
      | {"id":"a:1","kind":"leave","writer":"a","instance":"a","incarnation":"b","extra":1} |
      | {"id":"a:1","kind":"fence","writer":"a","instance":"a","incarnation":"b","attesters":"i1"} |
      | {"id":"a:1","kind":"plan","writer":"a","epoch":1,"moves":[3]}     |

  Scenario: A record whose effect fails is skipped by every replica
    Guards against a fault in one rule that stops every instance.
    Given log replicas r1, r2, r3
    When the effect of a log record fails
    And replica "r2" starts to append a join while its reads are normal
    And 1 s pass on the log
    Then all log replicas are at offset 1
    And all log replicas hold the same state

  Scenario Outline: The append budget of <kind> records allows a burst of <burst> and then delays
    Guards against an instance that takes the platform's whole append rate.
    Given log replicas r1, r2, r3
    When replica "r1" appends <count> "<kind>" records as fast as it may
    And 0 s pass on the log
    Then the log has got <burst> appends
    When <seconds> s pass on the log
    Then the log has got <count> appends

    Examples:
      | kind    | count | burst | seconds |
      | granted | 25    | 20    | 1       |
      | leave   | 15    | 10    | 2       |

  Scenario: An append that the budget can't admit in time fails
    Guards against writers that queue up without bound.
    Given log replicas r1, r2, r3
    When replica "r1" appends 200 "leave" records as fast as it may
    And 11 s pass on the log
    Then some log appends failed with "AppendBudgetError"

  Scenario Outline: The state is <recent>: <why>
    Guards against an instance that serves from a state that others have left behind.
    Given log replicas r1, r2, r3, of which all are voters
    When replicas "<cut>" lose the log for <seconds> s and "<silent>" answer no peer
    Then replica "r1" is <recent> and says "<reason>"

    Examples:
      | why                              | cut      | seconds | silent | recent     | reason           |
      | the log was read                 | r2       | 30      | r2 r3  | recent     |                  |
      | the last read is young           | r1       | 3       | r2 r3  | recent     |                  |
      | a majority confirms              | r1 r2 r3 | 30      | r3     | recent     |                  |
      | a minority confirms              | r1 r2 r3 | 30      | r2 r3  | not recent | 0 of 3 voters    |

  Scenario: Confirmations of the position grow old
    Guards against an isolated instance that lives on its last confirmations.
    Given log replicas r1, r2, r3, of which all are voters
    When replicas "r1 r2 r3" lose the log for 10 s and "none" answer no peer
    Then replica "r1" is recent and says ""
    When replicas "r1 r2 r3" lose the log for 10 s and "r2 r3" answer no peer
    Then replica "r1" is not recent and says "0 of 3 voters"

  Scenario: Records that come from a peer and then from the log are applied once
    Guards against a position that moves back when a late page repeats records.
    Given log replicas r1, r2, r3, of which all are voters
    When the reads of replica "r1" hang and its changes are watched
    And a log ticket is published elsewhere
    And 5 s pass on the log
    And the reads of replica "r1" go on
    Then replica "r1" was at offsets 6 in this order
    And all log replicas hold the same state

  Scenario: A peer's older checkpoint is refused
    Guards against a lagging peer that reverts a ticket in force.
    Given log replicas r1, r2, r3, of which all are voters
    When the peers of replica "r1" offer only a checkpoint of an empty log at offset 2
    And replicas "r1" lose the log for 10 s and "none" answer no peer
    Then all log replicas hold the same state

  Scenario: A voter that is ahead doesn't confirm an older position
    Guards against a lagging instance that takes answers of newer instances for confirmation.
    Given log replicas r1, r2, r3, of which all are voters
    When replicas "r1" lose the log for 30 s and "r2 r3" serve no records
    And a log ticket is published elsewhere
    And 10 s pass on the log
    Then replica "r1" is not recent and says "0 of 3 voters"

  Scenario: A replica without the log follows its peers
    Guards against an instance that stands still although its peers know the records.
    Given log replicas r1, r2, r3, of which all are voters
    When replicas "r1" lose the log for 5 s and "none" answer no peer
    And a log ticket is published elsewhere
    And 5 s pass on the log
    Then all log replicas hold the same state

  Scenario: A new instance starts from a peer while the log is down
    Guards against an outage during which instances can't be replaced.
    Given log replicas r1, r2, r3, of which all are voters
    When replicas "r1 r2 r3" lose the log for 5 s and "none" answer no peer
    And replica "r4" starts without the log
    And 5 s pass on the log
    Then all log replicas hold the same state
    And replica "r4" is recent and says ""

  Scenario Outline: A new instance starts <how> when the first records have expired
    Guards against retention that reverts a ticket or stops new instances.
    Given log replicas r1, r2, r3, of which all are voters
    When the log gets "<checkpoints>" and the records before the last <kept> expire
    And replica "r4" starts with peers "<peers>"
    And 5 s pass on the log
    Then replica "r4" <result>

    Examples:
      | how                                    | checkpoints          | kept | peers | result                       |
      | from the checkpoint                    | whole                | 3    | no    | holds the state of the others |
      | from the newest of two                 | whole whole          | 3    | no    | holds the state of the others |
      | from parts                             | split                | 9    | no    | holds the state of the others |
      | from parts that are repeated           | repeated             | 99   | no    | holds the state of the others |
      | from the older of two                  | whole cut            | 10   | no    | holds the state of the others |
      | from a peer                            | none                 | 1    | yes   | holds the state of the others |
      | from a peer without a usable checkpoint | corrupt             | 2    | yes   | holds the state of the others |
      | not after a gap                        | whole whole          | 2    | no    | has no state                 |
      | not at all                             | corrupt              | 3    | no    | has no state                 |
      | not at all either                      | none                 | 1    | no    | has no state                 |

  Scenario Outline: A checkpoint equals a full replay, seed <seed>
    Guards against a field that a checkpoint loses or reorders.
    When 400 random log records of seed <seed> are replayed
    Then a start from a checkpoint at each 25th offset reaches the same state

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |

  Scenario Outline: Checkpoints are written by <why>
    Guards against a log whose retention outruns its checkpoints.
    Given log replicas r1, r2, r3, of which all are voters
    When the checkpointers run with a limit of <records> records and <age> s
    And <seconds> s pass on the log
    Then the log holds <checkpoints> checkpoints

    Examples:
      | why            | records | age  | seconds | checkpoints |
      | count          | 3       | 1000 | 20      | 1           |
      | age            | 1000    | 10   | 25      | 2           |
      | neither yet    | 1000    | 1000 | 20      | 0           |
