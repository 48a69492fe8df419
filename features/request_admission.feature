Feature: Queue and slots of one backend server

  Background:
    Given a server with 2 slots and a queue of 6
    And work takes 20 ms when it is "quick" and 1000 ms when it is "slow"

  Scenario: Never more requests run than there are slots
    Guards against an overcommitted server.
    When 5 "quick" requests arrive with 500 ms left
    Then 2 run and 3 wait
    When a slot is returned twice
    Then 2 run and 2 wait

  Scenario Outline: A refusal names its reason at once
    Guards against work that is queued although it can't be done.
    Given <situation>
    When 1 "quick" requests arrive with <left> ms left
    Then the last request is refused as <reason> with a retry time

    Examples:
      | situation                          | left | reason              |
      | 8 "quick" requests are admitted    | 5000 | queue-full          |
      | 4 "quick" requests are admitted    | 30   | would-miss-deadline |
      | 2 "slow" requests are admitted     | 500  | would-miss-deadline |
      | a report of shedding for 900 ms    | 500  | would-miss-deadline |
      | the queue was closed               | 500  | no-authority        |
      | nothing runs                       | 0    | deadline-exceeded   |

  Scenario Outline: Waiting requests start in order
    Guards against first come first served, and against one customer taking all slots.
    Given 2 "quick" requests are admitted
    When requests wait as "<waiting>"
    Then they start in the order "<order>"

    Examples: name = customer:operation:ms left:weight
      | waiting                                                                | order       |
      | a=x:quick:900:1 b=x:quick:300:1 c=x:quick:600:1                        | b c a       |
      | a=x:slow:3000:1 b=x:quick:900:1 c=x:quick:800:1                        | c b a       |
      | a=x:quick:500:1 b=x:quick:510:1 c=x:quick:520:1 d=y:quick:530:1        | a d b c     |
      | a=x:quick:500:1 b=x:quick:510:1 c=x:quick:520:1 d=y:quick:530:2 e=y:quick:540:2 f=y:quick:550:2 | a d e b f c |

  Scenario: Long work leaves a slot to waiting short work
    Guards against short work blocked behind long work on every slot.
    Given 1 "slow" requests are admitted
    And 1 "quick" requests are admitted
    When requests wait as "a=x:slow:4000:1 b=x:quick:900:1 c=x:quick:910:1"
    Then they start in the order "b c a"

  Scenario: Waiting long work gets no second slot while short work waits
    Guards against the turn of long work that takes the last slot from short work.
    Given 1 "slow" requests are admitted
    And 1 "quick" requests are admitted
    And 1 "slow" request waits with 60000 ms left
    When 30 "quick" requests pass while long work keeps its slot
    Then the long request still waits

  Scenario: Long work is not starved by short work
    Guards against long work that waits for ever behind a stream of short work.
    Given 2 "quick" requests are admitted
    And 1 "slow" request waits with 60000 ms left
    When 30 "quick" requests arrive one by one as slots are returned
    Then the long request has started

  Scenario: Nothing is kept that was given up
    Guards against a slot given to work whose time is over, and refusals that come late.
    Given 2 "slow" requests are admitted
    And 1 "quick" request waits with 2050 ms left
    When 2040 ms pass
    Then the last request is refused as would-miss-deadline with a retry time
    And 2 run and 0 wait

  Scenario Outline: A caller that went away holds nothing
    Guards against slots and queue places that are lost with their caller.
    Given 2 "quick" requests are admitted
    And 1 "quick" request waits with 500 ms left
    When the waiting request is <ended>
    Then <running> run and 0 wait

    Examples:
      | ended                              | running |
      | withdrawn by its id                | 2       |
      | cancelled in the queue             | 2       |
      | cancelled just as it gets its slot | 1       |

  Scenario: Reports of the server never add slots
    Guards against lagging reports that overcommit a server or close it for long.
    Given 2 "quick" requests are admitted
    When the server reports 0 running
    And the server reports shedding for 60000 ms
    And 1 "quick" requests arrive with 5000 ms left
    Then 2 run and 1 wait
    When a slot is returned
    And 1100 ms pass
    Then 2 run and 0 wait

  Scenario: A cold server gets its slots gradually
    Guards against a crowd on a server that just started.
    Given a warm-up of 2000 ms
    When 2 "quick" requests arrive with 9000 ms left
    Then 1 run and 1 wait
    When 1500 ms pass
    Then 2 run and 0 wait

  Scenario: Overload does not reduce the work that is done in time
    Guards against a peak that fills the queue with work that will miss its deadline.
    When 3 times the capacity arrives for 2 s with 200 ms left
    Then at least 90% of the capacity is done in time
    And every refusal came within 5 ms
