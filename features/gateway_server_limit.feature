Feature: Servers that name a limit on their requests

  Scenario: All instances together send a server no more than the limit that it names
    Guards against a server that gets as much from each instance as before it named a limit, or the
    whole limit from each of them (LIMIT at i-9c4b9a2d39, inc1 on belltone-archive).
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When server "s1" names a limit of 4 requests a second and gets 10 a second by each instance
    Then from 3 s on it got in each 4 s at most half as much again and 5 requests and commands
    And what it didn't run was refused with a Retry-After

  Scenario: Requests that a server's limit doesn't admit are refused by their target latency
    Guards against requests that wait for a limited server until they are of no use.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When server "s1" names a limit of 4 requests a second and gets 10 a second by each instance
    Then what it didn't run was refused with a Retry-After
    And 9 in 10 of them within 0.2 s and all within 0.6 s

  Scenario: A queue admits requests at the rate that a server's limit leaves and refuses the rest
    Guards against a limit that only bounds how many requests run at a time, and against requests
    that wait although they can't start before their deadline.
    Given a queue of a server with 3 slots that takes 4 requests a second
    When 20 requests a second enter for 6 s, each with 0.5 s to live
    Then 24 to 27 were admitted, and at most 10 in any 2 s
    And the others were refused when they entered, told to wait until the limit admits them

  Scenario: The most urgent requests use what a server's limit admits
    Guards against urgent requests that are refused while less urgent ones use the limit.
    Given a queue of a server with 3 slots that takes 4 requests a second
    When 3 urgent and 17 other requests a second enter for 6 s, each with 0.5 s to live
    Then at least 90% of the urgent requests were admitted

  Scenario: A queue sends to other servers what a server's limit doesn't admit
    Guards against requests that wait for a limited server while another one is free.
    Given a queue of a server with 3 slots that takes 4 requests a second, and of one without a limit
    When 20 requests a second enter for 6 s, each with 0.5 s to live
    Then none was refused, and at most 27 were sent to the limited server

  Scenario: A limit above what a server's slots serve doesn't change who is queued
    Guards against requests that are refused for a limit while the server is just busy.
    Given a queue of a server with 3 slots that takes 1000 requests a second
    When 4 requests run, and one enters that would miss its target but not its deadline
    Then it is queued

  Scenario: A request that waits for another server than the limited one doesn't wake the queue
    Guards against a timer that fires again and again because the limit would admit a request.
    Given a queue of a server with 3 slots that takes 4 requests a second, and of one without a limit
    When requests that exclude the limited server fill the other one and one more waits
    Then the limit is not what delays it
    When the limited server has admitted 1 request and another one waits for it
    Then the limit delays it for 0.25 s

  Scenario Outline: The newest statement about a server's limit counts, whoever read it
    Guards against limits that a late message or an answer on its way ends or restores, and against
    limits that are believed forever.
    When an instance learns "<statements>"
    Then the server's limit is <limit>

    # Time, reader ("own" with the time at which the request was sent, or "other" with the time at
    # which the answer was read), and the limit.
    Examples:
      | statements                            | limit |
      | 1 own 0.9 5                           | 5     |
      | 1 own 0.9 5; 2 own 1.5 7              | 7     |
      | 1 own 0.9 5; 2 own 1.5 no             | no    |
      | 1 own 0.9 5; 2 own 0.8 no             | 5     |
      | 1 own 0.9 5; 2 other 1.8 no           | no    |
      | 1 own 0.9 5; 2 other 0.5 no           | 5     |
      | 1 other 0.8 5                         | 5     |
      | 1 other 0.8 5; 2 own 1.5 no           | no    |
      | 1 other 0.8 5; 2 own 1.5 no; 3 other 1.2 5 | no |
      | 1 own 0.9 5; 2 own 1.5 no; 3 other 2.5 6 | 6   |
      | 1 own 0.9 5; 12 own 0.5 no            | no    |
      | 12 other 1 5                          | no    |

  Scenario: An instance passes on only what it has read itself
    Guards against a limit that instances confirm to each other after the server has ended it.
    When an instance learns "1 other 0.9 5"
    Then it has nothing to pass on
    When it reads a limit of 6 in an answer
    Then it passes on a limit of 6 in asks, releases and reports

  Scenario: A keeper learns a limit from the instance that asks
    Guards against a new keeper of a queue that sends at full rate until it has answers of its own.
    Given instances "i1,i2,i3" that know each other and server "s1" with 3 slots
    And an instance that isn't the keeper has read a limit of 4 requests a second of "s1"
    When it asks for 6 admissions at the same time
    Then 1 of them is admitted, and the keeper knows the limit

  Scenario: A keeper learns a limit, and its end, from the release of an admission
    Guards against a keeper that sends at full rate to a server that doesn't answer it.
    Given instances "i1,i2,i3" that know each other and server "s1" with 3 slots
    When an instance that isn't the keeper reads a limit of 4 during an exchange
    Then the keeper knows a limit of 4
    When it reads no limit during the next exchange
    Then the keeper knows no limit

  Scenario: Callers are told when a server's limit admits them, whatever time they have left
    Guards against callers that come back too early and are refused again.
    Given a dispatcher with servers "s1" of a sharded service
    When a request to route "non-idempotent" is sent and the servers answer "limited"
    And 20 further requests are sent at the same time and the server names its limit
    Then some of them are refused, and told to retry after 0.3 to 0.5 s
    And the metrics count them as "at-limit"

  Scenario: A server with a low limit gets fewer renewals, and none of its leases expires
    Guards against renewals that use up a limit (inc1), and against leases that expire meanwhile.
    Given a leader of servers "s1,s2" of which "s1" names a limit of 0.5 requests a second
    When 30 s pass and the limit is named again every 5 s
    Then "s1" got 12 to 14 grants and "s2" 19 to 22
    And no two grants of a server were more than 2.6 s apart

  Scenario: An instance that keeps a queue in place of others uses a part of the limit
    Guards against instances that lose the keeper and each use the whole limit.
    Given instances "i1,i2,i3" that know each other and server "s1" with 3 slots
    And an instance that isn't the keeper has read a limit of 9 requests a second of "s1"
    And no other instance answers
    When it releases and asks again for 3 s
    Then it was admitted 6 to 10 times

  Scenario Outline: Renewals of leases and requests share a server's limit
    Guards against key commands that exceed a limit which the requests alone keep (inc1).
    Then a server with <ranges> ranges and a limit of <limit> is renewed every <interval> s
    And <requests> requests a second are left

    Examples:
      | ranges | limit | interval | requests |
      | 1      | no    | 1.4      | -        |
      | 9      | no    | 1.4      | -        |
      | 1      | 5     | 1.4      | 4.29     |
      | 3      | 5     | 1.4      | 2.86     |
      | 5      | 5     | 2.0      | 2.5      |
      | 9      | 5     | 2.2      | 1.25     |
      | 0      | 5     | 1.4      | 5        |
      | 1      | 0     | 2.2      | 0.1      |

  Scenario: Keys move off a server with a limit until the rest fits it, one part at a time
    Guards against requests that are refused for a limit while other servers have room, and against
    releases that exceed the limit.
    Given 6 servers with 12 requests a second each, one of which has a limit that leaves 3
    When moves are planned until none is left
    Then each round took at most one part from the limited server
    And the limited server has 1.5 to 4 requests a second left, and no other has more than 18

  Scenario: The leader learns a limit from the reports of the other instances
    Guards against a leader that gives a server more keys than its limit allows because the server
    hasn't answered the leader itself.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When server "s1" names a limit of 5 requests a second to an instance that doesn't lead
    Then the leader knows the limit within 1 s
    When server "s1" no longer names it to that instance
    Then the leader knows no limit within 1 s

  Scenario Outline: A limit from another instance is checked
    Guards against a peer's bad number that stops the queue of a server.
    When a datagram states a limit of <limit>
    Then the datagram is <result>

    Examples:
      | limit | result   |
      | 5     | accepted |
      | 0     | accepted |
      | -1    | rejected |
      | nan   | rejected |
