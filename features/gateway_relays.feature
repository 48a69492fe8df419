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
    And the instance counts as busy until then, and the idle connection is closed after it

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
