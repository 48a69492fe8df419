Feature: Tickets that don't come into force

  Scenario Outline: A ticket is rejected with a typed reason and changes nothing
    Guards against a ticket that comes into force out of order or with dangling references.
    Given a ticket log whose first ticket is in force
    When the ticket <ticket> is published by "nino"
    Then the ticket verdict is "<reason>" and mentions "<detail>"
    And the ticket tables in force are unchanged

    Examples:
      | ticket                                                                       | reason          | detail                  |
      | {"number": 3}                                                                | gap             | next number is 2        |
      | {"number": 1}                                                                | lost-race       | ticket 1 by ana         |
      | {"number": 1, "limits": {"portal": {"queue": -1}}}                           | malformed       | $.limits['portal'].queue |
      | {"number": 0}                                                                | malformed       | $.number                |
      | {"number": 2                                                                 | not-json        | Expecting               |
      | {"number": 2, "number": 2}                                                   | not-json        | number                  |
      | {"number": 2, // comment                                                     | not-json        | Expecting               |
      | []                                                                           | malformed       | an object               |
      | {"number": 2, "unknown": 1}                                                  | malformed       | $.unknown               |
      | {"number": 2, "services": {"portal": 3}}                                     | malformed       | $.services['portal']    |
      | {"number": 2, "limits": {"portal": {"queue": true}}}                         | malformed       | an integer              |
      | {"number": 2, "limits": {"portal": {"queue": 1e999}}}                        | malformed       | got inf                 |
      | {"number": 2, "limits": {"nowhere": {"queue": 1}}}                           | unknown-service | 'nowhere'               |
      | {"number": 2, "services": {"nowhere": null}}                                 | unknown-service | 'nowhere'               |
      | {"number": 2, "ownership": {"nowhere": {"wolf": "a"}}}                       | unknown-service | 'nowhere'               |
      | {"number": 2, "servers": {"x": null}}                                        | unknown-server  | 'x'                     |
      | {"number": 2, "ownership": {"portal": {"wolf": "x"}}}                        | unknown-server  | 'x'                     |
      | {"number": 2, "ownership": {"portal": {"wolf": "d"}}}                        | conflict        | doesn't serve 'portal'  |
      | {"number": 2, "services": {"portal": null}}                                  | conflict        | belongs to service      |
      | {"number": 2, "servers": {"c": {"service": "portal", "address": "127.0.0.1:9001", "failure_domain": "a", "slots": 1}}} | conflict | share the address |
      | {"number": 2, "servers": {"c": {"service": "nope", "address": "127.0.0.1:9009", "failure_domain": "a", "slots": 1}}} | unknown-service | 'nope' |
      | {"number": 2, "servers": {"c": {"service": "portal", "address": "127.0.0.1:09003", "failure_domain": "a", "slots": 1}}} | malformed | .address |
      | {"number": 2, "services": {"desk": {"customer": "b", "shards": 1, "operations": {}, "path_prefix": "/portal/"}}} | conflict | share the path |

  Scenario Outline: Ticket <case> is rejected as <reason>
    Guards against a reader that fails on, or differs about, an extreme ticket.
    Given a ticket log whose first ticket is in force
    When the extreme ticket "<case>" is published
    Then the ticket verdict is "<reason>" and mentions "<detail>"
    And the ticket tables in force are unchanged

    Examples:
      | case              | reason    | detail         |
      | too large         | too-large | more than      |
      | too many shards   | too-large | shards         |
      | too many pins     | too-large | pinned keys    |
      | deep nesting      | not-json  | nesting        |
      | huge integer      | not-json  | limit          |
      | lone surrogate    | malformed | a name of      |
      | number of 30 digits | malformed | at most      |

  Scenario Outline: A ticket whose number is no longer next names who came first
    Guards against an operator who believes that an old, repeated or losing ticket is in force.
    Given a ticket log whose first ticket is in force
    When tickets 2 and 3 are accepted from "ana"
    And the ticket {"number": <number>, "limits": {"portal": {"queue": <queue>}}} is published by "nino"
    Then the ticket verdict is "<reason>" and mentions "<detail>"

    Examples:
      | number | queue | reason    | detail                                   |
      | 2      | 7     | stale     | ticket 3 is in force                     |
      | 3      | 3     | repeated  | ticket 3 by ana at offset 2 has the same |
      | 3      | 7     | lost-race | ticket 3 by ana at offset 2 came first   |

  Scenario: A server that still holds a partition keeps its address
    Guards against two processes that both count as the owner under one name.
    Given a ticket log whose first ticket is in force
    When server "a" is given a partition
    And the ticket {"number": 2, "servers": {"a": {"service": "portal", "address": "127.0.0.1:9100", "failure_domain": "a", "slots": 2}}} is published by "nino"
    Then the ticket verdict is "conflict" and mentions "can't change"

  Scenario: A removed server stays until its partitions are released
    Guards against a partition that is granted anew while the removed server still holds it.
    Given a ticket log whose first ticket is in force
    When server "a" is given a partition
    And the ticket {"number": 2, "servers": {"a": null}} is published by "nino"
    Then the ticket verdict is "" and mentions ""
    And server "a" is still known and marked as removed
