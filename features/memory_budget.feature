Feature: Budget of the bytes that are buffered for callers

  The budget decides without a network who may read on and who is refused.

  Scenario Outline: A process with <memory> MB takes one body of the largest permitted size
    Guards against a bound that refuses a single request within the limits.
    Given the budget of a process with <memory> MB
    When "a" reserves 67108864 bytes for its body
    Then it is granted
    And 1000000 bytes for small requests are granted

    Examples:
      | memory |
      | 152    |
      | 200    |
      | 552    |

  Scenario: Bodies leave memory for small requests
    Guards against uploads that keep small requests from being served.
    Given a budget of 40000000 bytes
    When "a" reserves 20000000 bytes for its body
    And "b" reserves 20000000 bytes for its body
    Then it is refused
    And 9000000 bytes for small requests are granted

  Scenario: A newcomer doesn't displace a body that is arriving
    Guards against uploads of which each displaces the one before, so that none completes.
    Given a budget of 40000000 bytes
    When "a" reserves 20000000 bytes for its body
    And 0.2 s go by
    And "b" reserves 20000000 bytes for its body
    Then it is refused
    And "a" is not refused

  Scenario: A body that has stalled makes room
    Guards against callers that stop just short of the end and keep the connection open.
    Given a budget of 40000000 bytes
    When "a" reserves 20000000 bytes for its body
    And 0.3 s go by
    And "b" reserves 20000000 bytes for its body
    Then it is granted
    And "a" is refused

  Scenario: A body whose bytes trickle in makes room after its time
    Guards against callers that hold the whole budget by sending a byte now and then.
    Given a budget of 40000000 bytes
    When "a" reserves 20000000 bytes for its body
    And 1.1 s go by in which "a" sends bytes
    And "b" reserves 20000000 bytes for its body
    Then it is granted
    And "a" is refused

  Scenario: The one that holds most for longest is refused first
    Guards against refusing a small upload for one that holds nearly everything.
    Given a budget of 40000000 bytes
    When "a" reserves 5000000 bytes for its body
    And "b" reserves 20000000 bytes for its body
    And 1.1 s go by
    And "c" reserves 10000000 bytes for its body
    Then it is granted
    And "b" is refused
    And "a" is not refused

  Scenario: A request that runs isn't refused
    Guards against a refusal that says "not run" of a request that was sent.
    Given a budget of 40000000 bytes
    When "a" reserves 20000000 bytes for its body
    And the request of "a" runs
    And 9 s go by
    And "b" reserves 20000000 bytes for its body
    Then it is refused
    And "a" is not refused

  Scenario: Answers that exist already are counted beyond the limit, and displace holders
    Guards against slow readers that add to memory without being counted.
    Given a budget of 40000000 bytes
    When "a" reserves 20000000 bytes for its body
    And 1.1 s go by
    And "b" holds 25000000 bytes of answers
    Then "a" is refused
    And "b" is not refused

  Scenario: Released memory is granted again
    Guards against a budget that shrinks until everything is refused.
    Given a budget of 40000000 bytes
    When 1000 bodies of 20000000 bytes are reserved and released one after another
    Then the budget holds nothing
    When a body of 300000 bytes is read in pieces of 7 bytes and dropped by its reader
    Then the budget holds nothing

  Scenario Outline: A body is read into segments and sent as it was
    Guards against bytes that are lost or repeated at the borders of segments.
    When a body of <size> bytes is read in pieces of <piece> bytes
    Then its pieces are the same bytes
    And it reserves <reserved> bytes

    Examples:
      | size   | piece | reserved |
      | 0      | 1     | 0        |
      | 65536  | 1000  | 0        |
      | 65537  | 1000  | 131072   |
      | 131072 | 65536 | 131072   |
      | 200000 | 70000 | 262144   |

  Scenario: Connections with small pieces are read in turns, in order
    Guards against one connection, or all of them together, that keep the event loop busy.
    Given connections "a,b,c" whose turns take 3 ms
    When all of them ask for a turn
    Then "a,b" are read in the first round and "c" in the next one
    And at least 5 ms lie between two rounds

  Scenario: At most four connections are read in a row
    Guards against turns that are short but read many requests, which run after them.
    Given connections "a,b,c,d,e" whose turns take 0 ms
    When all of them ask for a turn
    Then "a,b,c,d" are read in the first round and "e" in the next one

  Scenario Outline: <chosen> makes room for a new connection
    Guards against floods of connections that keep ordinary callers out.
    Given open connections "<connections>", the oldest first
    When another one is accepted beyond the bound
    Then "<chosen>" is closed

    Examples:
      | connections                 | chosen |
      | idle,unused,unused2         | unused |
      | running,idle,idle2          | idle   |
      | running,slow,idle           | idle   |
      | running,slow,slow2          | slow   |
      | running,running2            | none   |
