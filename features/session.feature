Feature: Session with a backend server

  Leases last 400 ms and commands are answered within 250 ms or given up.

  Scenario Outline: A lease has ended at the server when it has lapsed for the coordinator
    Guards against two owners because one clock runs faster, or because a renewal came late.
    Given a session with a server whose clock gains <rate> parts per thousand
    When the session is renewed <before> ms after the last answer and the command takes <delay> ms
    Then the server's lease ends before the session's lease has lapsed
    And the lease has lapsed at most <margin> ms after the sending of the renewal

    Examples:
      | rate | before | delay | margin |
      | 0    | 100    | 1     | 416    |
      | -9   | 100    | 1     | 416    |
      | 9    | 100    | 1     | 416    |
      | -9   | 399    | 1     | 419    |
      | -9   | 399    | 200   | 419    |
      | -9   | 5000   | 1     | 419    |
      | 9    | 5000   | 200   | 619    |

  Scenario: A renewal without an answer counts as if it had arrived
    Guards against a lease that the server took although its answer was lost.
    Given a session with a server whose clock gains 0 parts per thousand
    When the session is renewed and then the answer to a renewal is lost
    Then the lease lapses about 414 ms after the lost renewal was sent

  Scenario: A restarted server gets no lease by the clock of its predecessor
    Guards against a lease of hours, when the new process counts from another origin.
    Given a session with a server whose clock gains 0 parts per thousand
    When the server process is replaced by one whose clock is 5000 s behind
    Then the next session renewal fails without sending and the one after it succeeds
    And no lease of the new process lasts longer than 400 ms

  Scenario Outline: Answers that can't be used raise typed errors
    Guards against a malformed answer that ends the coordinator's task.
    Given a session with a server whose clock gains 0 parts per thousand
    When the server answers a session command with "<answer>"
    Then the session raises "<error>"

    Examples:
      | answer                                   | error                         |
      | 409 {"reason":"stale-epoch","epoch":99}  | StaleEpochError               |
      | 409 {"reason":"no-lease","epoch":1}      | CommandRefusedError           |
      | 500 {}                                   | BackendServerUnavailableError |
      | 200 {}                                   | ProtocolError                 |
      | 200 {"incarnation":"x","clock_ms":"y"}   | ProtocolError                 |
      | 200 []                                   | ProtocolError                 |

  Scenario: A grant without an answer stays in doubt until it can't arrive any more
    Guards against a server that reads an old grant after its partition went elsewhere.
    Given a session with a server whose clock gains 0 parts per thousand
    When the session grants "portal/1" and the answer is lost
    Then "portal/1" is in doubt after the next renewal
    And "portal/1" is no longer in doubt after a renewal 101 ms later

  Scenario: Nothing is sent without authority
    Guards against a renewal by an instance that was fenced during a pause.
    Given a session with a server whose clock gains 0 parts per thousand
    When the session's authority is lost
    Then renewing the session sends nothing and raises a typed error

  Scenario Outline: The HTTP channel keeps to one connection
    Guards against commands that reach another process than the one that gave its clock.
    Given a control server over HTTP
    When the control server "<event>" between two commands
    Then a command for the same connection "<same>"
    And a control command for any connection succeeds

    Examples:
      | event                | same                         |
      | does nothing         | succeeds                     |
      | closes connections   | fails without being sent     |

  Scenario Outline: The HTTP channel checks the authority again before it sends
    Guards against a command by an instance that was fenced while it waited for a connection.
    Given a control server over HTTP
    When the authority of the control channel ends while it gets <connection>
    Then the control server gets no further command

    Examples:
      | connection            |
      | a new connection      |
      | the former connection |

  Scenario Outline: The HTTP channel survives bad answers
    Guards against an answer that fills the memory or blocks the coordinator.
    Given a control server over HTTP
    When the control server answers with "<answer>"
    Then the control command raises "<error>" within 500 ms
    And a control command for any connection succeeds

    Examples:
      | answer     | error                         |
      | silence    | BackendServerUnavailableError |
      | 2 MB       | ProtocolError                 |
      | no JSON    | ProtocolError                 |
      | a cut body | BackendServerUnavailableError |
