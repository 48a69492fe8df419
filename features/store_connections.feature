Feature: Connections to the store

  Scenario: Calls that follow each other use one connection
    Guards against a connection for each call, which takes a round trip more.
    Given a store that answers every call
    When it is listed 5 times
    Then 5 calls have come over 1 connection, and 5 were answered

  Scenario: A listing over a connection that the store closes meanwhile is sent once more
    Guards against a failed read, and connections that all count as silent, because of a connection
    that the store closed at the moment at which it was used again.
    Given a store that closes a connection at its call 2
    When it is listed 2 times
    Then 3 calls have come over 2 connections, and 2 were answered

  Scenario: A listing is sent no more than twice
    Guards against calls without end to a store that closes every connection.
    Given a store that closes every connection at its first call
    When it is listed 1 times
    Then 2 calls have come over 2 connections, and 0 were answered

  Scenario: An append is never sent twice
    Guards against a plan that is written twice, the second time over a change of another leader.
    Given a store that closes a connection at its call 1
    When records are appended to it
    Then 1 call has come over 1 connection, and the append is unconfirmed

  Scenario: An idle connection isn't used again after 1 s
    Guards against a call that waits for its timeout on a connection that has gone silent.
    Given a store that answers every call
    When it is listed 2 times, 1.1 s apart
    Then 2 calls have come over 2 connections, and 2 were answered

  Scenario: There are no more than 8 connections
    Guards against connections that grow with the calls while the store is slow.
    Given a store that answers no call before it is told to
    When it is listed 20 times at once and then told to answer
    Then 20 calls have come over 8 connections, and 20 were answered

  Scenario: Closed connections are not opened again
    Guards against a process that calls the store after its end: its calls are repeated over new
    connections.
    Given a store that answers no call before it is told to
    When it is listed 2 times at once and the client is closed
    Then 2 calls have come over 2 connections, and 0 were answered
