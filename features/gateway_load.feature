Feature: Decisions under load, without input and output

  Scenario: Servers that stop answering in time lose keys and regain them when they answer again
    Guards against keys that stay for seconds with servers many times slower than others (incident
    on belltone-archive: payoff 0.55 for ten seconds).
    Given 8 servers with equal parts of the keys and speeds "1"
    And a demand of 300 a second of which 0 percent lies on 1 keys from 0
    And all servers answer within 0.05 s
    When requests to server "s1" end without an answer after 0.5 s
    And placement runs for 8 rounds with learned speeds
    Then server "s1" has at most 0.4 times the mean load
    When server "s1" answers within 0.05 s again
    And placement runs for 8 rounds with learned speeds
    Then server "s1" has at least 0.6 times the mean load

  Scenario: Every ten consecutive requests are divided by weight
    Guards against a division of requests that keeps the weights only on average.
    When 100 requests are divided between "portal:70,desk:30"
    Then every 10 in a row hold 7 for "portal" and 3 for "desk"

  Scenario Outline: A queue that all instances share earns most under peak load
    Guards against queues that overload servers or that serve every request too late. The load is
    that of 85 instances and servers with 2 slots.
    When peak load of <crest> times the servers' capacity is simulated with all policies
    Then "one queue, in time first" earns at least <own> times the worth of "own limits"
    And "one queue, in time first" earns at least <priority> times the worth of "one queue, by priority"
    And "one queue, in time first" earns at least <fair> times the worth of "one queue, weighted fair"
    And "own limits" overloads servers and "one queue, in time first" doesn't
    And with "one queue, in time first" no kind earns less than a less urgent one

    Examples:
      | crest | own | priority | fair |
      | 1.0   | 1.1 | 1.05     | 1.05 |
      | 1.3   | 1.8 | 1.1      | 1.1  |

  Scenario Outline: Requests without a key stay in their failure domain while it has capacity
    Guards against crossings to other failure domains that cost two fifths of a booking's worth.
    When failure domains reported waits of "<waits>"
    Then domain "a" asks in the order "<order>"
    And if none admits the request at once it waits in "<waiting>"

    Examples:
      | waits             | order | waiting |
      | a:0,b:0           | a,b   | a       |
      | a:0.1,b:0         | a,b   | a       |
      | a:0.3,b:0         | a,b   | b       |
      | a:0.3,b:0.2,c:0.1 | a,c,b | c       |
      | b:0.2,c:0.1       | c,b   | c       |

  Scenario: The retry budget follows the first sends of its window
    Guards against more retries than all instances together may send.
    Given a retry budget with a ratio of 0.2, 7 extra and a window of 10 s for 1 instances
    When 100 first sends were made
    Then 18 retries are allowed
    When 11 s pass for the budget
    Then 4 retries are allowed

  Scenario: The extra retries are shared by all instances
    Guards against ten times the allowed retries where ten times the instances run.
    Given a retry budget with a ratio of 0.2, 700 extra and a window of 10 s for 85 instances
    Then 5 retries are allowed

  Scenario Outline: Keys that become hot are distributed before many requests are lost
    Guards against load that is moved repeatedly while its measured rate grows (musgo-limpio: 574 of
    987 refusals of a day in the four seconds after a rise). The target is half a second's worth of
    the hot requests with 18 servers, and a second's worth with 64, where more servers have to take
    part.
    Given <servers> servers of 4 slots and work of <work_s> s that get <rate> requests a second
    When <share> of the requests go to <count> adjacent keys for 5 s, with seeds from 1 to 3
    Then at most <seconds> s worth of the hot requests exceed the capacity of their servers
    And at most 0.6 of the keys have moved in the 14 s

    Examples:
      | servers | work_s | rate | share | count | seconds |
      | 18      | 0.17   | 255  | 0.44  | 200   | 0.5     |
      | 18      | 0.17   | 255  | 0.43  | 60    | 0.5     |
      | 64      | 0.29   | 690  | 0.41  | 200   | 1.0     |
      | 64      | 0.29   | 690  | 0.40  | 60    | 1.0     |

  Scenario Outline: Retries of all instances stay within the allowance in every window
    Guards against unevenly loaded instances whose retries in a window add up to more than the
    deployment allows.
    Given <instances> instances with uneven loads that retry as often as they may
    When they serve <rate> requests a second in total for 40 s, with peaks of <crest> times the rate
    Then no 10 s hold more retries than 0.2 of the requests and <extra>

    Examples:
      | instances | rate | crest | extra |
      | 12        | 470  | 1     | 64    |
      | 12        | 470  | 2.4   | 64    |
      | 86        | 1150 | 1     | 212   |
      | 86        | 1150 | 2.4   | 212   |

  Scenario Outline: Load on a few keys is distributed over the servers within a few rounds
    Guards against adjacent busy keys that stay on one server while others idle.
    Given <servers> servers with equal parts of the keys and speeds "<speeds>"
    And a demand of <rate> a second of which <share> percent lies on <keys> keys from <first>
    When placement runs for <rounds> rounds
    Then the busiest server has at most <most> times the mean load for its speed
    And at most <moved> percent of the keys have moved

    Examples:
      | servers | speeds      | rate | share | keys | first | rounds | most | moved |
      | 20      | 1           | 100  | 40    | 200  | 30000 | 4      | 1.6  | 60    |
      | 20      | 1           | 100  | 40    | 60   | 30000 | 4      | 1.7  | 60    |
      | 20      | 0.7,0.7,1.6 | 100  | 0     | 1    | 0     | 6      | 1.6  | 60    |
      | 8       | 1           | 100  | 90    | 1000 | 60000 | 4      | 1.6  | 60    |
      | 213     | 0.7,0.7,1.6 | 450  | 40    | 200  | 30000 | 3      | 1.7  | 60    |
      | 213     | 0.7,0.7,1.6 | 450  | 40    | 60   | 30000 | 3      | 1.8  | 60    |

  Scenario: A few requests don't move keys
    Guards against keys that change their owner because of noise in the load.
    Given 20 servers with equal parts of the keys and speeds "1"
    And 12 requests for random keys
    When placement runs for 1 rounds
    Then at most 0 percent of the keys have moved

  Scenario: A server without keys gets some without waiting for load
    Guards against servers that join and receive no requests.
    Given 20 servers with equal parts of the keys and speeds "1"
    And one more server without keys
    When placement runs for 2 rounds
    Then every server has keys

  Scenario: Keys of a lost server are divided among the others
    Guards against a single server that takes over the whole load of another.
    Given 8 servers with equal parts of the keys and speeds "1"
    And a demand of 100 a second of which 0 percent lies on 1 keys from 0
    When server "s1" is lost
    Then its keys go to at least 3 servers and each key to one
