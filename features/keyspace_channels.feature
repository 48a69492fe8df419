Feature: Ownership of keys when channels end and answers are repeated

  Scenario: Ranges that a lost rival has renewed are granted again once they are no longer disputed
    Guards against grants under token after token of an era in which the server has seen a higher
    one: each 409 revokes the leader's authority, and all keys have no owner for 20 s.
    When the store loses the claim of a rival that has renewed all ranges, with seeds from 1 to 5
    Then all keys have an owner again within 20 s

  Scenario: Servers that close connections keep their keys while the store is unavailable
    Guards against leases that aren't renewed because the channel of their token has ended, though
    the process is the same.
    When servers close each connection after an answer and the store is unavailable for 8 s
    Then the keys stay owned

  Scenario: The repeated answer to a release doesn't count for the next one
    Guards against keys that go to another server before their owner has released them.
    Given a server that repeats its answer to the first release instead of one to the second
    When two ranges are released at it
    Then only the first release counts as done

  Scenario Outline: A range is paused only once its release can be sent
    Guards against keys that all instances refuse for seconds although their owner runs, because the
    leader can't connect to the owner (gateway_cut_off.feature, rows @1.3 and @1.10).
    Given a server that <accepts> connections
    When a range is released at it
    Then the range was paused <count> times and the release is <done>

    Examples:
      | accepts | count | done     |
      | accepts | 1     | done     |
      | refuses | 0     | not done |
