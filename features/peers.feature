Feature: Connections between instances

  Real sockets on loopback with short timeouts.

  Background:
    Given two peers "a" and "b" of the stream "hyssopwood"

  Scenario: A request gets its reply and concurrent requests don't wait for each other
    Guards against a waiting permit request that blocks the connection.
    When "a" sends "b" a request that waits and then one that doesn't
    Then the second peer reply comes first and both are right

  Scenario: A request to oneself needs no socket
    Guards against a coordinator that can't reach itself.
    When "a" sends itself a request
    Then the peer reply is right

  Scenario Outline: Bad bytes end the connection and nothing else
    Guards against a peer or a stranger that stops the daemon.
    When a stranger sends "<bytes>" to "b"
    Then the peer connection is closed within 600 ms
    And "a" still gets a reply from "b"

    Examples:
      | bytes                 |
      | oversized frame       |
      | random frame          |
      | empty frame           |
      | hello of other stream |
      | request before hello  |
      | nothing               |
      | frame cut short       |

  Scenario Outline: A request fails with a typed error
    Guards against a caller of the peers module that waits for ever.
    When "a" sends a request to "<target>"
    Then a peer unavailable error is raised within 500 ms

    Examples:
      | target                         |
      | an unknown incarnation         |
      | a dead address                 |
      | a replaced incarnation         |
      | a handler that never answers   |
      | a handler that fails           |
      | a message without handler      |

  Scenario: A silent connection is replaced while new ones work
    Guards against a middlebox that drops an established connection without a word.
    Given the connection from "a" to "b" goes through a relay
    When the relay silences the established peer connections
    And "a" keeps sending peer requests for 600 ms
    Then the last peer requests are answered

  Scenario: A peer that doesn't read is disconnected
    Guards against a buffer that grows until the process is killed.
    When a peer connects to "b", asks for large replies and doesn't read
    Then the peer connection is closed within 5000 ms

  Scenario: The end of a connection is reported
    Guards against permits of a dead entry that are never taken back.
    When "a" has sent "b" a request and stops
    Then "b" reports the peer "a" as lost

  Scenario: A peer that comes back is reached again
    Guards against a backoff that never ends.
    When "b" stops, "a" fails to reach it, and "b" listens again
    Then "a" still gets a reply from "b"
