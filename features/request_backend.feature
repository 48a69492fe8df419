Feature: Requests to backend servers

  Scenario Outline: Each fault of a server has one outcome
    Guards against a request reported as not run although the server may have run it, against
    an incomplete or foreign answer that looks whole, and against a hidden second sending.
    Given a backend server that <behaviour>
    When a <method> attempt is sent
    Then the attempt ends as <outcome>
    And the server saw 1 attempts

    Examples:
      | behaviour           | method | outcome                    |
      | answers             | POST   | answered whole             |
      | echoes another id   | POST   | unknown mismatched-answer  |
      | refuses the token   | POST   | not run moved              |
      | sheds               | POST   | not run server-refused     |
      | fails after running | POST   | answered ran               |
      | closes              | POST   | unknown connection-lost    |
      | closes              | GET    | unknown connection-lost    |
      | sends garbage       | POST   | unknown connection-lost    |
      | cuts a counted body | POST   | cut                        |
      | cuts a chunked body | GET    | cut                        |
      | sends no length     | POST   | unknown connection-lost    |
      | stays silent        | POST   | unknown connection-lost    |
      | stalls in the body  | POST   | cut                        |

  Scenario: The HTTP client does not send a request again by itself
    Guards against the client's own retry of a GET whose kept connection is dropped.
    Given a backend server that answers once
    When a GET attempt is sent
    And another GET attempt is sent on the same connection
    Then the attempt ends as unknown connection-lost
    And the server saw 2 attempts

  Scenario Outline: An attempt that may not leave is proved not to have run
    Guards against a byte sent after the permit or the deadline, or by a paused process.
    Given a backend server that answers
    And an attempt whose <obstacle>
    When the prepared attempt is sent
    Then the attempt ends as not run <reason>
    And the server saw 0 attempts

    Examples:
      | obstacle             | reason             |
      | permit has expired   | moved              |
      | deadline has passed  | deadline-exceeded  |
      | server is down       | server-unreachable |
      | process was paused   | server-unreachable |

  Scenario: A silent connection is closed and its pool retired
    Guards against work sent into established connections that never answer again.
    Given a backend server that answers
    When 2 attempts are answered at the same time
    And the server stays silent
    And a POST attempt is sent
    And the server answers
    And another POST attempt is sent on the same connection
    Then the attempt ends as answered whole
    And the second attempt used a new connection

  Scenario: A late answer of a busy server is waited for
    Guards against stragglers that are taken for silent connections.
    Given a busy backend server that stays silent
    When an attempt waits for 1.5 s
    Then the attempt still waits

  Scenario Outline: The server hears that nobody waits any more
    Guards against servers that go on with work that was given up.
    Given a busy backend server that stays silent
    When an attempt waits for 0.1 s
    And the attempt ends because <cause>
    Then the server was told to cancel it
    And no attempt is left in flight

    Examples:
      | cause                |
      | its deadline passes  |
      | its caller went away |

  Scenario: Connections are not used again after a pause
    Guards against bytes that a paused process left in old connections.
    Given a backend server that answers
    When a POST attempt is sent
    And the process is paused for 1 s
    And another POST attempt is sent on the same connection
    Then the attempt ends as answered whole
    And the second attempt used a new connection

  Scenario: A caller's path can't lead to another host
    Guards against targets that the client reads as a host name.
    Given a backend server that answers
    And an attempt whose path is //127.0.0.1:9/x
    When the prepared attempt is sent
    Then the attempt ends as answered whole
