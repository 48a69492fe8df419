Feature: Authority of an instance

  Three voters, a promise of 300 ms asked for each 75 ms.

  Background:
    Given the authority of instance "a" among the voters "v1, v2, v3"

  Scenario Outline: Authority needs unexpired promises of a majority
    Guards against two sides of a network partition that both act.
    When the authority runs for 200 ms while the voters "<answering>" answer
    Then the authority is "<held>"

    Examples:
      | answering  | held     |
      | v1, v2, v3 | held     |
      | v1, v3     | held     |
      | v2         | not held |
      |            | not held |

  Scenario Outline: A promise counts from the sending of its request
    Guards against a reply that was delayed, or a paused instance, that extends the authority.
    When the authority runs for 10 ms while each reply takes <delay> ms
    Then the authority is "held" until <until> ms after the request

    Examples:
      | delay | until |
      | 0     | 297   |
      | 5     | 297   |

  Scenario: A paused instance finds its authority gone
    Guards against acting on promises that ran out during a pause.
    When the authority runs for 200 ms while the voters "v1, v2, v3" answer
    And the authority's process is paused for 400 ms
    Then the authority is "not held"
    And requiring authority raises a typed error

  Scenario Outline: Pending voters count as well
    Guards against a change of the voters that lets two majorities act.
    Given the pending voters of the authority are "v4, v5, v6"
    When the authority runs for 200 ms while the voters "<answering>" answer
    Then the authority is "<held>"

    Examples:
      | answering      | held     |
      | v1, v2, v4, v5 | held     |
      | v1, v2, v3, v4 | not held |
      | v4, v5, v6     | not held |

  Scenario Outline: A voter refuses whom it must not support
    Guards against a promise to a fenced instance, or to one that doesn't know the voters.
    When an authority voter is asked by "<sender>" for "<subject>" at membership offset <offset>
    Then the voter's promise is "<answer>"

    Examples:
      | sender | subject | offset | answer  |
      | a      | a       | 5      | granted |
      | a      | a       | 6      | granted |
      | a      | a       | 4      | refused |
      | b      | a       | 5      | refused |
      | f      | f       | 5      | refused |

  Scenario: A voter that is no member grants nothing
    Guards against a promise of a voter that was replaced.
    When the authority voter has been fenced
    Then it refuses a promise to "a"

  Scenario: A voter attests only after its own promise
    Guards against a fence that becomes valid while the fenced instance still has authority.
    Given the authority voter has watched its voters for 400 ms
    When the authority voter promises "a" and is asked 100 ms later to attest its fence
    Then it doesn't attest and names a wait of about 200 ms
    When the authority voter is asked to attest again after that wait
    Then it attests
    And it refuses a promise to "a"

  Scenario: A voter that just started or saw the voters change attests later
    Guards against promises of earlier voters, which a new voter doesn't know of.
    When an authority voter that just started is asked to attest a fence
    Then it doesn't attest and names a wait of about 303 ms

  Scenario: Voters that attested leave an instance that must start again
    Guards against an instance that stays without authority for ever after an unfinished fence.
    When the authority runs for 1000 ms while the voters "v1, v2" refuse
    Then the authority is refused for good
