Feature: Client of the platform's store

  Scenario: A conditional append is carried out once at the expected end
    Guards against two writers that both believe they changed the plan.
    Given a keyed store
    When records "a=1,b=2" are appended at 0
    Then the partition ends at 2
    When records "a=3" are appended at 0
    Then the append conflicts with end 2

  Scenario: A lost answer doesn't count as a refusal
    Guards against a write that is retried without its condition.
    Given a keyed store that loses the next answer
    When records "a=1" are appended at 0
    Then the append is unconfirmed
    When records "a=1" are appended at 0
    Then the append conflicts with end 1

  Scenario Outline: An unavailable store raises typed errors
    Guards against a status that stops the reading task.
    Given a keyed store that answers <status>
    Then reading, listing and appending fail as "<error>"

    Examples:
      | status | error                |
      | 503    | unavailable          |
      | 429    | unavailable          |
      | 500    | protocol             |

  Scenario: The newest records are listed over several pages
    Guards against missing keys of the second page.
    Given a keyed store with pages of 2 items
    When records "a=1,b=2,c=3,d=4,e=5,a=6,b=" are appended at 0
    Then the newest records are "a=6,c=3,d=4,e=5" up to 7

  Scenario: A reader behind the retained records gets an error
    Guards against changes that are skipped without notice.
    Given a keyed store
    When records "a=1,b=2,c=3" are appended at 0
    And the store forgets the records before 2
    Then reading from 0 reports that records before 2 have expired
    And reading from 2 returns "c=3" up to 3

  Scenario: A truncated read raises a typed error
    Guards against a truncated record that is treated as complete.
    Given a keyed store that cuts 1 byte off each read
    When records "a=1" are appended at 0
    Then reading from 0 fails as "protocol"

  Scenario Outline: An answer that is cut off is never taken as whole
    Guards against a part of a list, of a read or of an append's answer that passes for all of it.
    Also guards against an append that may have been carried out and doesn't count as unconfirmed.
    Given a store whose answers by <framing> are cut off at each byte by a connection that <ends>
    Then reading returns whole records only, and everything else fails unless it is whole
    And each append with a broken answer is unconfirmed

    Examples:
      | framing | ends    |
      | length  | closes  |
      | chunks  | closes  |
      | chunks  | resets  |
      | close   | closes  |
      | close   | resets  |

  Scenario: An endless read fails at its size limit
    Guards against a store that fills an instance's memory until the call's timeout.
    Given a keyed store whose reads never end
    Then reading from 0 fails as "unavailable"
    And less than 0.9 s have passed

  Scenario: A feed continues after its records have expired
    Guards against servers that stay listed because the record of their removal has expired.
    Given a keyed store
    And a feed that has read server "s1" and server "s2"
    When server "s1" is removed and the store forgets all records
    Then the feed lists "s2" as all that is present
