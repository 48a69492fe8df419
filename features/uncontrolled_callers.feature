Feature: Callers that aren't under control

  Each scenario guards against a process that runs out of memory or descriptors, or no longer answers
  ordinary callers, because of connections that don't keep to the rules. Limits are lowered, so that a
  small flood is enough: 60 bodies of 8 MiB are 503 MB.

  Scenario Outline: <pattern> don't take a process of <memory> MB over its memory
    Guards against bodies that are buffered without a common bound (issue 46).
    Given the gateway's program with <memory> MB, for bodies of up to 8 MiB
    When 60 connections send <pattern> for 2 s
    Then the process still runs, and its memory has stayed below the limit
    And an ordinary request was answered while the connections were open, and another one afterwards
    And a request of the largest permitted size is answered

    Examples:
      | pattern                        | memory |
      | whole bodies                   | 200    |
      | whole bodies                   | 300    |
      | bodies in pieces               | 200    |
      | bodies in pieces               | 300    |
      | large chunks                   | 200    |
      | large chunks                   | 300    |
      | tiny chunks                    | 200    |
      | bodies declared over the limit | 200    |
      | bodies streamed over the limit | 200    |
      | bodies streamed over the limit | 300    |
      | heads byte by byte             | 200    |

  Scenario Outline: <pattern> don't take a process of 200 MB over its memory
    Guards against answers that are buffered without bound for callers that don't read them.
    Given the gateway's program with 200 MB and servers with answers of <size> KiB
    When 60 connections send <pattern> for 4 s
    Then the process still runs, and its memory has stayed below the limit
    And an ordinary request was answered while the connections were open, and another one afterwards

    Examples:
      | pattern                                          | size |
      | requests for large answers that nobody reads     | 4096 |
      | pipelined requests for answers that nobody reads | 60   |

  Scenario: Connections without a request leave descriptors for everything else
    Guards against a process that can't connect to servers or the store, nor accept ordinary callers,
    because idle connections take its descriptors.
    Given the gateway's program with 264 descriptors
    When 60 connections send nothing for 1 s
    Then its sockets have stayed below the descriptors that aren't reserved for files
    And an ordinary request was answered while the connections were open, and another one afterwards

  Scenario Outline: A body of the largest permitted size is accepted by a process of <memory> MB
    Guards against a bound that refuses a single request within the limits.
    Given the gateway's program with <memory> MB, for bodies of up to 64 MiB
    When a body of 64 MiB is sent
    Then it is answered
    And the process still runs, and its memory has stayed below the limit

    Examples:
      | memory |
      | 152    |
      | 200    |
