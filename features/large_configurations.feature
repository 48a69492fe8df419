Feature: Large configurations are in force in time over narrow links

  A configuration with 1,400 more routes has 0.32 MB here, 0.26 MB on a played day. Machines have links of 10 Mbit/s, of which
  reads of the store got 4.6; the smallest links have 5. A version must be in force 2.5 s
  after its confirmation, at instances that have lost no connection for 3 s.

  Scenario Outline: Large configurations in series are in force in time
    Guards against a read that is given up although its bytes arrive, and begins again with one version
    more (incident of 2026-12-05, CONFIG on belltone-archive-grown: instances that never took a version
    again).
    Given instances with links of <mbit_s> Mbit/s to the store
    When <count> versions with <routes> more routes are published every <interval> s, with <disturbances>
    Then each version or a later one is in force at each instance 2.5 s after its publication, or 3 s after connections were last lost

    Examples:
      | mbit_s | count | routes | interval | disturbances                      |
      | 10     | 8     | 1400   | 0.9      | nothing                           |
      | 4.6    | 8     | 1400   | 0.9      | nothing                           |
      | 4.6    | 8     | 100    | 0.3      | silence at 1.0                    |
      | 10     | 8     | 1400   | 0.9      | silence at 1.0                    |
      | 4.6    | 8     | 1400   | 0.9      | silence at 1.0                    |
      | 4.6    | 8     | 1400   | 0.9      | reset at 1.2                      |
      | 4.6    | 8     | 1400   | 0.9      | silence at 1.0 and silence at 5.0 |
      | 4.6    | 8     | 1400   | 0.9      | silence at 1.0 and reset at 2.5   |
      | 2.4    | 4     | 1400   | 2.0      | silence at 1.0                    |

  Scenario Outline: An answer of the store is ended when it stalls, not when it takes long
    Guards against a limit that fits the size of the usual answer, and against one that ends nothing.
    Given a store with 3 configurations with 1400 more routes behind a link of <mbit_s> Mbit/s
    When all records are read while the link <does>
    Then the read <ends> within <limit_s> s

    Examples:
      | mbit_s | does                     | ends                 | limit_s |
      | 2.4    | goes on                  | returns all of them  | 4.0     |
      | 4.6    | falls silent after 0.5 s | fails as unavailable | 1.3     |
      | 0.1    | goes on                  | fails as unavailable | 1.0     |

  Scenario: A probe of an unavailable store isn't ended while its answer arrives
    Guards against an instance that never reads a large configuration once the store counts as
    unavailable, as each probe is limited to 0.6 s.
    Given a store with 1 configuration with 1400 more routes behind a link of 2.4 Mbit/s
    When calls fail until the store counts as unavailable, and all records are read
    Then the read returns all of them within 1.5 s

  Scenario: A reader that is behind reads the last configuration only
    Guards against a reader that must take every version that it missed, each in full.
    Given a store with 1 configuration with 1400 more routes behind a link of 10 Mbit/s
    And a reader of configurations that has read it
    When 3 more of these are published and the reader reads again
    Then it returns version 13 alone, and fewer bytes than 2 configurations have came over the link

  Scenario: A reader returns to the configurations that it left out if the last one can't be used
    Guards against a version that is never in force because an unusable one follows it.
    Given a store with 1 configuration with 1400 more routes behind a link of 10 Mbit/s
    And a reader of configurations that has read it
    When 2 more of these and an unusable one are published and the reader reads twice
    Then it returns version 12 alone, and the newest configuration counts as rejected

  Scenario: A link to the leader isn't lost while a large message arrives
    Guards against a follower that links again, and requests all registrations again, whenever they
    take longer than the silence after which a link counts as lost.
    Given a leader that sends 500 registrations within 2 s of each link
    When an instance follows it for 3 s
    Then the instance has linked once and has received 500 registrations

  Scenario: A link to a leader that falls silent within a message is lost
    Guards against a follower that waits forever for the rest of a message.
    Given a leader that falls silent within a message of registrations
    When an instance follows it for 3 s
    Then the instance has lost its link within 1.5 s
