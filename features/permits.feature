Feature: Permits of one server

  Messages live 100 ms at most; each permit may be used for 200 ms and its request may run 2000 ms.

  Scenario Outline: An abandoned permit blocks its partition until its work has certainly ended
    Guards against two servers that work on one key, and against slots that never come back.
    Given a permit that was issued for "portal/1"
    When its entry "<entry>" after 10 ms
    And <ms> ms after the issue "<evidence>"
    Then the permit "<result>" its partition

    Examples:
      | entry                   | ms   | evidence                        | result   |
      | reports unknown         | 50   | the server reports 0 running    | blocks   |
      | reports unknown         | 120  | the server reports 0 running    | frees    |
      | reports unknown         | 120  | the server reports 1 running    | blocks   |
      | is lost                 | 120  | the server reports 0 running    | blocks   |
      | is lost                 | 310  | the server reports 0 running    | frees    |
      | is lost                 | 310  | nothing is known                | blocks   |
      | is lost                 | 310  | the lease has lapsed            | frees    |
      | is lost                 | 2110 | nothing is known                | frees    |
      | says nothing            | 310  | the server reports 0 running    | blocks   |
      | says nothing            | 2110 | nothing is known                | blocks   |
      | says nothing            | 2260 | nothing is known                | frees    |
      | is lost, token replaced | 310  | the lease has lapsed            | blocks   |

  Scenario Outline: Slots of abandoned permits follow the server's own count
    Guards against overcommitted slots, and against a lost entry that takes a server's slots away.
    Given <lost> abandoned permits
    When the server reports <running> running after they can't start work any more
    Then <freed> of their slots are free

    Examples:
      | lost | running | freed |
      | 2    | 0       | 2     |
      | 2    | 1       | 1     |
      | 2    | 2       | 0     |
      | 2    | 5       | 0     |

  Scenario: A key that became hot still counts for its former partition and the new one
    Guards against a hot key that moves while a request on its shard is in progress.
    Given a permit that was issued for the shard of "animal-1"
    When "animal-1" gets a partition of its own
    Then the permit blocks both partitions and no third one
