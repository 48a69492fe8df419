Feature: Client of the platform's store

  Scenario: A conditional append is carried out once at the expected end
    Guards against two writers that both believe they changed the plan.
    Given a keyed store
    When records "a=1,b=2" are appended at 0
    Then the partition ends at 2
    When records "a=3" are appended at 0
    Then the append conflicts with end 2

  Scenario: A lost answer is no refusal
    Guards against a write that is repeated without its condition.
    Given a keyed store that loses the next answer
    When records "a=1" are appended at 0
    Then the append is unconfirmed
    When records "a=1" are appended at 0
    Then the append conflicts with end 1

  Scenario Outline: An unavailable store raises typed errors
    Guards against a status that ends the task that reads.
    Given a keyed store that answers <status>
    Then reading, listing and appending fail as "<error>"

    Examples:
      | status | error                |
      | 503    | unavailable          |
      | 429    | unavailable          |
      | 500    | protocol             |

  Scenario: The newest records are listed over several pages
    Guards against keys that a second page would have named.
    Given a keyed store with pages of 2 items
    When records "a=1,b=2,c=3,d=4,e=5,a=6,b=" are appended at 0
    Then the newest records are "a=6,c=3,d=4,e=5" up to 7

  Scenario: A reader behind the retained records is told so
    Guards against changes that are skipped in silence.
    Given a keyed store
    When records "a=1,b=2,c=3" are appended at 0
    And the store forgets the records before 2
    Then reading from 0 says that records before 2 have expired
    And reading from 2 returns "c=3" up to 3

  Scenario: A read that is cut off raises a typed error
    Guards against half a record that is taken for a whole one.
    Given a keyed store that cuts 1 byte off each read
    When records "a=1" are appended at 0
    Then reading from 0 fails as "protocol"

  Scenario: A read without an end fails within its limit
    Guards against a store that fills an instance's memory until the call's time is over.
    Given a keyed store whose reads never end
    Then reading from 0 fails as "unavailable"
    And less than 0.9 s have passed

  Scenario: A feed goes on after its records have expired
    Guards against servers that stay listed because their removal was forgotten with the history.
    Given a keyed store
    And a feed that has read server "s1" and server "s2"
    When server "s1" is removed and the store forgets all records
    Then the feed lists "s2" as all that is present
