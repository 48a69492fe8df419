Feature: A store that is restored from an older copy

  Scenario: A reader continues with the contents of the restored store
    Guards against records that are skipped because their offsets had been used before.
    Given a keyed store of era 1
    And a feed that has read server "s1" and server "s2"
    When the store forgets server "s2" by being restored, and server "s3" registers at its offset
    Then the feed lists "s1,s3" as all that is present, after a restore

  Scenario: A reader beyond the restored store's end lists it again
    Guards against a reader that waits for an offset that is used again.
    Given a keyed store of era 1
    And a feed that has read server "s1" and server "s2"
    When the store forgets server "s2" by being restored
    Then the feed lists "s1" as all that is present, after a restore

  Scenario: A long poll that a restore interrupts lists the store again
    Guards against a poll that continues on a copy that is no longer written.
    Given a keyed store of era 1
    And a feed that has read server "s1" and server "s2"
    When the store is restored while the feed polls
    Then the feed lists "s1" as all that is present, after a restore

  Scenario: Servers whose registrations were lost have time to register again
    Guards against servers that lose their keys because the store lost their registration.
    Given an instance that follows servers of a keyed store of era 1
    When the store forgets server "s2" by being restored
    Then the instance still lists server "s2" after 1 s
    And it has dropped server "s2" after 3.5 s

  Scenario: A restore doesn't revert registrations
    Guards against requests to a server that is draining or was removed.
    Given an instance that follows servers of a keyed store of era 1
    When server "s1" drains, server "s2" leaves and the store forgets both by being restored
    Then the instance lists server "s1" as draining and server "s2" as removed

  Scenario: A restore doesn't revert the configuration
    Guards against requests that are routed by an older version again.
    Given an instance that follows configurations of a keyed store of era 1 and has version 7
    When the store is restored to a copy with version 5
    Then the instance has version 7 after 1 s
    When the operator writes version 8
    Then the instance has version 8 after 1 s

  Scenario: A write whose condition is met again by a restore doesn't count as confirmed
    Guards against a leader that continues although the store has lost its claim.
    Given a plan store on a keyed store of era 1
    When the store is restored to the end that the writer expects
    Then a write returns a position of era 2
    And the next write at a position of era 1 conflicts without a call

  Scenario Outline: Invalid eras are ignored
    Guards against an instance that stops, or that treats every store as an older one.
    Given a keyed store of era 2 whose header is "<values>"
    When records "a=1" are appended at 0
    Then the partition ends at 1
    And the client has era <era>

    Examples:
      | values                   | era |
      | 2                        | 2   |
      | -1                       | 0   |
      | one                      | 0   |
      | 1.5                      | 0   |
      | 99999999999999999999     | 0   |
      | 8192                     | 0   |
      | ٣                        | 0   |
      | 2,3                      | 0   |

  Scenario: An answer of an earlier era is rejected
    Guards against a copy of the store that still answers on an old connection.
    Given a keyed store of era 3
    When records "a=1" are appended at 0
    And the store's answers are of era 2
    Then reading from 0 fails as "unavailable"
