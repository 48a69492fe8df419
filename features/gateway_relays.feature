Feature: Connections that an instance relays to servers for others

  Scenario Outline: What a server does at a relayed connection reaches the asking instance unchanged
    Guards against broken answers that look complete because a relay is between.
    Given an instance that relays to a server which <does>
    When a request is sent over a relayed connection
    Then the exchange ends with <result>

    Examples:
      | does                                          | result           |
      | answers                                       | the whole answer |
      | answers 300 KiB                               | the whole answer |
      | answers without a length and closes           | the whole answer |
      | answers without a length and resets           | a broken answer  |
      | resets within the body                        | a broken answer  |
      | closes within the body                        | a broken answer  |
      | closes before the answer                      | a broken answer  |
      | resets before the answer                      | a broken answer  |
      | speaks before the request                     | a broken answer  |

  Scenario Outline: A relay that isn't possible is refused before the request is sent
    Guards against "not run" for a request that may run, and against relays to any address.
    Given an instance that relays to a server which <state>
    When a relayed connection is asked for
    Then asking fails with <error>
    And the server got no request

    Examples:
      | state                                   | error        |
      | doesn't listen                          | NotSentError |
      | isn't registered                        | NotSentError |
      | has started again since                 | NotSentError |
      | is draining                             | NotSentError |
      | has told the instance to back off       | NotSentError |
      | can't be reached by the instance either | NoPathError  |
      | answers, though the instance stops      | NoPathError  |
      | answers, though the instance is silent  | NoPathError  |
      | answers, though the instance is gone    | NoPathError  |

  Scenario: A caller that leaves ends the exchange at the server
    Guards against servers that work on for callers who have left.
    Given an instance that relays to a server which never answers
    When a request is sent over a relayed connection and cancelled after 0.1 s
    Then the server sees the connection end within 0.2 s

  Scenario: A stopping instance lets relayed requests end and takes no more
    Guards against requests that are cut off because another instance stops.
    Given an instance that relays to a server which answers after 0.5 s
    When a request is sent over a relayed connection and the instance stops 0.1 s later
    Then the exchange ends with the whole answer
    And the instance counts as busy until then, and the asking one closes the connection after it

  Scenario Outline: A pause within an answer isn't its end
    Guards against an instance that closes a relayed connection within an answer because no byte of it
    came for a while (review of 2026-12-05, case 3).
    Given an instance that relays to a server which answers <answers> and pauses after <first> bytes
    When a request is sent over a relayed connection and <event> in the pause
    Then the exchange ends with the whole answer
    And no further request is sent over that connection, which is closed

    Examples:
      | answers          | first  | event                           |
      | without a length | 0      | the instance stops              |
      | without a length | 8000   | the instance stops              |
      | without a length | 200000 | the instance stops              |
      | in chunks        | 8000   | the instance stops              |
      | with a length    | 8000   | the instance stops              |
      | without a length | 8000   | its server asks for a back-off  |
      | without a length | 200000 | its server asks for a back-off  |
      | in chunks        | 8000   | its server asks for a back-off  |
      | with a length    | 8000   | its server asks for a back-off  |

  Scenario Outline: A pause within an answer isn't its end for an instance of an earlier build either
    Guards against the same while builds run side by side: such an instance can't be asked to send no
    further request.
    Given an instance that relays to a server which answers with a length and pauses after 8000 bytes
    When an instance that reads no frames sends a request, and <event> in the pause
    Then that instance sees the whole answer
    And its next request <next>

    Examples:
      | event                          | next                            |
      | the instance stops             | is answered, too                |
      | its server asks for a back-off | is reset and reaches no server  |

  Scenario: An idle relayed connection of a stopping instance is left at once
    Guards against a request that is sent over a connection which the relaying instance is about to
    close.
    Given an instance that relays to a server which answers
    When a request is sent over a relayed connection and the instance stops after its answer
    Then the asking instance has closed the connection within 0.1 s
    And a request over it fails before it is sent, as this instance's own loss of a path

  Scenario: A relayed connection that is opened while the instance begins to stop isn't used
    Guards against a connection that is asked for before the stop, and accepted after every other one
    was retired.
    Given an instance that relays to a server which answers
    When the instance stops while it connects to the server
    Then asking fails with NoPathError
    And the server got no request

  Scenario: A back-off that a server asks for holds for the instance that relays to it, too
    Guards against a server that gets requests from an instance that it has told to back off, because
    they are another one's.
    Given an instance that relays to a server which answers
    When a request is sent over a relayed connection and its server asks for a back-off of 5 s
    Then the relaying instance stays away from the server and closes the relayed connection
    And another instance that asks for a relayed connection is told of the back-off

  Scenario Outline: Bytes that are no request end their connection only
    Guards against an instance that ends or keeps a connection at another process's bytes.
    Given an instance that relays to a server which answers
    When <bytes> are sent to its relay address
    Then that connection is ended within 1.5 s
    And a request over a relayed connection still gets its answer

    Examples:
      | bytes                    |
      | 40 random bytes          |
      | 65535 random bytes       |
      | a length of 65535        |
      | no bytes                 |
      | a request and more bytes |

  Scenario Outline: Instances of one failure domain alone don't show that a server has failed
    Guards against a server that is blamed because two instances that lost the same links, and don't
    know it yet, were asked to relay (gateway_cut_off.feature, a whole failure domain cut off).
    Given instances "<reaching>" that reach a server and "<cut>" that don't, by failure domain
    When relayed connections to the server are asked for with 40 seeds
    Then <result>

    Examples:
      | reaching | cut         | result                               |
      | b1       | a2,a3,a4    | every one is opened                  |
      | b1,c1    | a2,a3,a4,a5 | every one is opened                  |
      |          | a2,b1       | every one fails as the server's fault |
      |          | a2,a3       | every one fails as the server's fault |

  Scenario Outline: The end of a relaying process doesn't complete an answer
    Guards against a part of an answer without a length that counts as whole, as the kernel of a
    killed process closes its connections in order (review of 2026-12-05, case 2).
    Given a process that relays to a server which answers <answers> and pauses after <first> bytes
    When a request is sent over a relayed connection and the process <process> in the pause
    Then the exchange ends with <result>

    Examples:
      | answers                | first  | process   | result           |
      | without a length       | 0      | is killed | a broken answer  |
      | without a length       | 8000   | is killed | a broken answer  |
      | without a length       | 200000 | is killed | a broken answer  |
      | in chunks              | 8000   | is killed | a broken answer  |
      | with a length          | 8000   | is killed | a broken answer  |
      | without a length       | 8000   | is paused, and killed after it, | a broken answer |
      | without a length       | 200000 | is paused, and killed after it, | a broken answer |
      | without a length       | 0      | lives on  | the whole answer |
      | without a length       | 8000   | lives on  | the whole answer |
      | without a length       | 200000 | lives on  | the whole answer |
      | in chunks              | 8000   | lives on  | the whole answer |
      | with a length          | 8000   | lives on  | the whole answer |

  Scenario: The log names the request of a relay that is lost within an exchange
    Guards against failed requests whose logs don't tell that another instance has ended.
    Given a process that relays to a server which answers without a length and pauses after 8000 bytes
    When the process is killed in the pause of an answer, and the log is read
    Then the log has "id=r1 relay=i2 end=close" for it

  Scenario Outline: An exchange that this instance gives up is no lost relay
    Guards against a log that blames another instance for this one's deadline or for a caller who left.
    Given a process that relays to a server which answers without a length and pauses after <first> bytes
    When a request is sent over a relayed connection which this instance <gives up> in the pause
    Then the log has no lost relay

    Examples:
      | first  | gives up              |
      | 8000   | cancels               |
      | 200000 | lets expire           |

  Scenario Outline: An instance that reads no frames gets an orderly close from the server only
    Guards against an instance of an earlier build that takes the end of the relaying process for the
    server's, while builds run side by side.
    Given a process that relays to a server which answers without a length and pauses after <first> bytes
    When an instance that reads no frames sends a request, reads <reading>, and the process <process> in the pause
    Then that instance sees <result>

    Examples:
      | first  | reading | process   | result                               |
      | 8000   | at once | is killed | a reset                              |
      | 200000 | at once | is killed | a reset                              |
      | 307200 | late    | is killed | a reset                              |
      | 8000   | at once | lives on  | the whole answer and an orderly close |
      | 200000 | late    | lives on  | the whole answer and an orderly close |

  Scenario Outline: An answer by way of an instance that sends no frames needs a length
    Guards against the end of a relaying process of an earlier build that completes an answer, while
    builds run side by side.
    Given an instance of an earlier build that relays an answer <answers> and then closes
    When a request is sent over a relayed connection
    Then the exchange ends with <result>

    Examples:
      | answers          | result           |
      | without a length | a broken answer  |
      | in chunks        | the whole answer |
      | with a length    | the whole answer |

  Scenario: Frames are read in whatever pieces they arrive
    Guards against bytes of an answer that are lost, repeated or taken for a frame's header.
    When 400 sequences of frames are cut into pieces at random with seed 45
    Then each is read as it was sent, with at most one piece held in memory

  Scenario Outline: Malformed frames end the relayed connection
    Guards against an instance that reads on behind bytes that it can't tell apart.
    Given an instance of an earlier build that relays frames of <form> and then closes
    When a request is sent over a relayed connection
    Then the exchange ends with a broken answer

    Examples:
      | form                   |
      | an unknown kind        |
      | a close that has bytes |
      | a header cut short     |
