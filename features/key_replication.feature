Feature: Idempotency records survive changes of coordinators and owners

  Scenario Outline: A repeat after <event> doesn't run again
    Guards against a second run when a caller repeats a request through another instance.
    Given a key cell whose server s1 is coordinated by c1
    When c1 issues a permit for idempotency key "k" and its request ends as "<end>"
    And in the key cell <event>
    Then a repeat of "k" at the present coordinator of its key gets "<answer>"

    Examples:
      | event                                              | end       | answer      |
      | nothing else happens                               | answered  | stored      |
      | nothing else happens                               | unknown   | record-lost |
      | nothing else happens                               | running   | in-progress |
      | nothing else happens                               | not-run   | permit      |
      | c1 is lost and its standby takes s1 over           | answered  | stored      |
      | c1 is lost and its standby takes s1 over           | running   | record-lost |
      | c1 is lost and its standby takes s1 over           | not-run   | permit      |
      | c1 is lost and another instance takes s1 over      | answered  | record-lost |
      | c1 hands s1 over to another instance               | answered  | stored      |
      | the key moves to s2                                | answered  | stored      |
      | the key moves to s2                                | unknown   | record-lost |
      | the key moves to s2 whose coordinator is then lost | answered  | stored      |
      | c1 is lost, another takes over and the key moves   | answered  | record-lost |

  Scenario Outline: Unknown keys after a takeover: <case>
    Guards against refusing every key without need, and against running a key whose record is lost.
    Given a key cell whose server s1 is coordinated by c1
    When in the key cell <event>
    Then a first request with "new" at the present coordinator of its key gets "<answer>"
    And after the idempotency window a first request with "later" gets "permit"

    Examples:
      | case                    | event                                         | answer      |
      | by the standby          | c1 is lost and its standby takes s1 over      | permit      |
      | by another instance     | c1 is lost and another instance takes s1 over | record-lost |

  Scenario: A keyed request gets no permit while the standby can't keep its record
    Guards against a record that exists only at the coordinator.
    Given a key cell whose server s1 is coordinated by c1
    And the standby of s1 doesn't answer
    Then a first request with "k" at the present coordinator of its key gets "coordinator-unreachable"

  Scenario: Poison requests are refused after two crashes, suspects run one at a time
    Guards against a third crash, and against convicting a request that ran beside the guilty one.
    Given a key cell whose server s1 is coordinated by c1
    When s1 crashes while "poison" and "innocent" run
    Then permits of "poison" and "innocent" at once are "permit" and "queue-full"
    When s1 crashes while "poison" runs
    Then permits of "innocent" and "poison" at once are "permit" and "poison"
