Feature: Path of one request from its route to its outcome

  Scenario Outline: Each end of an attempt leads to the right outcome
    Guards against a repeated run of work that may not be repeated, against work sent to a server
    that lost the key, and against callers that wait although the end is known.
    Given attempts that end as "<ends>"
    When a <kind> request is handled
    Then its outcome is <outcome>
    And <sent> attempts were sent
    And every permit was returned as "<returned>"

    Examples:
      | ends                          | kind           | outcome                   | sent | returned         |
      | answered                      | non-repeatable | answered                  | 1    | answered         |
      | unknown:connection-lost       | non-repeatable | unknown connection-lost   | 1    | unknown          |
      | unknown:connection-lost       | repeatable     | answered                  | 2    | unknown answered |
      | not-run:server-refused        | repeatable     | not run server-refused    | 1    | not-run          |
      | not-run:server-unreachable    | non-repeatable | answered                  | 2    | not-run answered |
      | not-run:moved                 | non-repeatable | answered                  | 2    | not-run answered |
      | cut                           | non-repeatable | cut                       | 1    | unknown          |

  Scenario Outline: Each reply of a coordinator leads to the right outcome
    Guards against refusals that hide that a request may have run, and against stored answers
    that are run again.
    Given a coordinator that replies "<reply>"
    When a non-repeatable request is handled
    Then its outcome is <outcome>
    And <sent> attempts were sent

    Examples:
      | reply               | outcome                           | sent |
      | queue-full          | not run queue-full                | 0    |
      | would-miss-deadline | not run would-miss-deadline       | 0    |
      | poison              | not run poison                    | 0    |
      | in-progress         | unknown in-progress               | 0    |
      | already-run         | unknown already-run               | 0    |
      | record-lost         | unknown record-lost               | 0    |
      | stored              | answered                          | 0    |
      | nonsense            | answered                          | 1    |
      | unreachable         | answered                          | 1    |
      | hangs               | not run deadline-exceeded         | 0    |

  Scenario: A moved key is sent to its new owner at once
    Guards against callers that wait for a timer, or are sent to the old owner.
    Given attempts that end as "not-run:moved"
    And a key that moves to "s2" during the first attempt
    When a non-repeatable request is handled without time passing
    Then its outcome is answered
    And the attempts went to "s1 s2"

  Scenario: A key without an owner is waited for, but not for long
    Guards against refusals during a short move, and against callers held without end.
    Given a key without an owner
    When a non-repeatable request is handled
    Then its outcome is not run no-owner
    And it ended after 1.0 s

  Scenario: Lost servers cause no retry storm
    Guards against callers' requests that multiply while a server is down.
    Given a server that refuses every connection
    When 100 requests are handled at the same time
    Then at most 120 attempts were sent

  Scenario: Retries of work that may have run stay within their budget
    Guards against retries that double the load of a failing server.
    Given a server that loses every connection
    When 100 requests are handled one after another
    Then at most 120 attempts were sent

  Scenario Outline: A caller that goes away leaves nothing behind
    Guards against permits and queue places that are lost with their caller.
    Given <stage>
    When the caller goes away
    Then <effect>

    Examples:
      | stage                            | effect                                |
      | a request that waits for a slot  | its place in the queue is given up    |
      | a request that is being answered | its permit was returned as "unknown"  |

  Scenario Outline: Small answers of keyed requests are kept
    Guards against replays that are incomplete.
    Given an answer of <size> bytes
    When a keyed request is handled
    Then the returned permit carries <kept>

    Examples:
      | size  | kept            |
      | 5     | the whole body  |
      | 0     | the whole body  |
      | 16384 | the whole body  |
      | 16385 | no body         |

  Scenario: A permit counts from the sending of its request
    Guards against a first byte that leaves after the coordinator has given the slot away.
    Given a coordinator that takes 150 ms to reply
    When a non-repeatable request is handled
    Then the first byte had to leave within 50 ms
