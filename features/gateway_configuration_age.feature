Feature: Configurations are in force in time at instances that reach the store

  Scenario: Instances don't wait for a leader that can't read the configuration
    Guards against a version in the leader's heartbeats that is trusted although the leader's own
    read of it is old (incident of 2026-12-05, CONFIG: "handled by version N or older; version N was
    acked more than N ms before").
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When the leader's reads of the configuration stay unanswered for 5 s
    And configuration 9 without the route is published while requests go to the other instances
    Then every request sent there 2 s after the publication or later is answered 404

  Scenario: A leader that can't decode a configuration doesn't vouch for the one before
    Guards against instances that wait for a leader of another build, which skips the newest
    configuration and announces the one before as if there were no later one.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When the leader can't decode the next configuration
    And configuration 9 without the route is published while requests go to the other instances
    Then every request sent there 2 s after the publication or later is answered 404

  Scenario: A read that is cut off between two records doesn't vouch for a configuration
    Guards against an answer without a length that ends early, at the end of a record, and is taken
    for all that the store has: the configuration before would count as the newest.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1"
    When answers to reads end before their first record for 2 s from the publication of configuration 9
    Then the instance's knowledge of the newest configuration is 1 s old or more at the end
    And the instance answers 404 within 1 s

  Scenario: A single unanswered read doesn't make a configuration late
    Guards against a long poll that is waited for until it is too late for the next read.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1"
    When the leader's next read of the configuration stays unanswered
    And configuration 9 without the route is published at the start of that read
    Then every request sent there 2 s after the publication or later is answered 404

  Scenario: The age of a heartbeat counts from its sending
    Guards against a heartbeat that waited in the buffers of a slow connection and looks new.
    Given a follower of a leader whose heartbeats have a configuration that is 0.3 s old
    When heartbeats arrive at once for 0.5 s and then 0.8 s late
    Then the follower takes the leader's configuration to be between 1.1 and 1.5 s old
    And the heartbeat's registrations replace no reads of the follower
    And the follower takes the leader's confirmation by the store to be at least 0.9 s old

  Scenario Outline: Registrations of a leader that falls silent become too old in time
    Guards against registrations that are used for 1.7 s after the leader read them, so that with
    the interval of own reads a leaving server is noticed after more than 2 s.
    Given a follower of a leader whose heartbeats have registrations that are <age> s old
    When heartbeats arrive at once for 0.5 s and then none for <silent> s
    Then the heartbeat's registrations replace <reads> of the follower

    Examples:
      | age | silent | reads    |
      | 0.9 | 0.1    | reads    |
      | 0.9 | 0.45   | no reads |
      | 0.3 | 0.45   | reads    |

  Scenario: A leader of an earlier build doesn't replace reads of the configuration
    Guards against an unknown age that counts as none.
    Given a follower of a leader whose heartbeats have a configuration of unknown age
    When heartbeats arrive at once for 0.5 s and then 0 s late
    Then the leader's configuration replaces no reads of the follower
