Feature: Records of idempotency keys, of suspects and of durations

  Scenario Outline: A repeated key is answered by what is known
    Guards against a request that runs twice, or is refused although it never ran.
    Given idempotency records for 60 s
    When key "k" begins with digest 1 as request "i1.1#0"
    And its request <ended>
    And key "k" begins with digest <digest> as request "<request>"
    Then the key's result is <result>

    Examples:
      | ended                             | digest | request | result         |
      | is still running                  | 1      | i2.9#0  | in-progress    |
      | is still running                  | 1      | i1.1#1  | begun          |
      | is still running                  | 1      | i1.11#0 | in-progress    |
      | was answered with 5 bytes         | 1      | i2.9#0  | stored 5 bytes |
      | was answered with 5 bytes         | 2      | i2.9#0  | bad-request    |
      | was answered with 16385 bytes     | 1      | i2.9#0  | already-run    |
      | was answered with 0 bytes         | 1      | i2.9#0  | already-run    |
      | ended unknown                     | 1      | i2.9#0  | record-lost    |
      | was proved not to have run        | 1      | i2.9#0  | begun          |
      | was answered long ago             | 1      | i2.9#0  | begun          |
      | runs for longer than the window   | 1      | i2.9#0  | record-lost    |
      | was copied and taken over         | 1      | i2.9#0  | record-lost    |
      | was answered, copied, taken over  | 1      | i2.9#0  | stored 5 bytes |
      | was answered and copied late      | 1      | i2.9#0  | stored 5 bytes |
      | was lost in a takeover            | 1      | i2.9#0  | record-lost    |
      | was lost in a takeover long ago   | 1      | i2.9#0  | begun          |

  Scenario: Records stay bounded without forgetting a key early
    Guards against memory that grows with callers, and against a dropped key that runs twice.
    Given idempotency records for 60 s
    When 100 further keys are answered with 16000 bytes each
    Then no more than 100 keys and 1000000 bytes are kept
    And the key "further-0" is answer-lost
    And a further key is refused as queue-full

  Scenario Outline: Crashes quarantine the guilty request
    Guards against a request that crashes every server, and against refused innocents.
    Given suspects with a quarantine of 60 s
    When servers crash while they run "<crashes>"
    And <later>
    Then the quarantined requests are "<guilty>"

    Examples: each group of digests ran on one crashed server
      | crashes     | later                         | guilty |
      | 7           | nothing else happens          |        |
      | 7 7         | nothing else happens          | 7      |
      | 7,1 7,2     | nothing else happens          | 7      |
      | 7,1,2 7,3,4 | nothing else happens          |        |
      | 7,1,2 7,3,4 7,5,6 | nothing else happens    | 7      |
      | 7,1 7,1     | request 1 succeeds            | 7      |
      | 7 7         | request 7 succeeds            | 7      |
      | 7 7         | 61 s pass                     |        |
      | 7 7         | 2000 other requests crash one | 7      |

  Scenario: Suspects of one instance are refused on the others
    Guards against a poison request that is repeated through other instances.
    Given suspects with a quarantine of 60 s
    When peers report crashes of "7 7,1"
    Then the quarantined requests are "7"
    When a peer clears request 1
    Then 1 suspects are kept

  Scenario Outline: Durations are learned with their tail and forgotten with time
    Guards against predictions from a class name, from stale values or from the mean alone.
    Given 90 requests took 10 ms and 10 took 2000 ms, <age> s ago
    When 40 requests take <latest> ms
    Then the mean lies between <low> and <high> ms
    And the 95th percentile lies between <tail_low> and <tail_high> ms
    And the operation is <class>

    Examples:
      | age | latest | low | high | tail_low | tail_high | class |
      | 0   | 10     | 140 | 180  | 1900     | 2400      | short |
      | 0   | 1000   | 400 | 500  | 900      | 2400      | long  |
      | 900 | 10     | 9   | 12   | 9        | 13        | short |

  Scenario: Work that overran is expected to go on
    Guards against a wait predicted from the mean while a straggler holds the slot.
    Given 90 requests took 10 ms and 10 took 2000 ms, 0 s ago
    Then after 100 ms the remaining time lies between 1800 and 2400 ms
    And the learned operations stay below 50 after 500 new ones
