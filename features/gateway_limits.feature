Feature: Limits on what callers and servers send

  Scenario Outline: An answer without an end is broken off early
    Guards against a server that fills an instance's memory or holds its event loop.
    Given an answer of <form> without end
    When it is read in pieces of <piece> bytes
    Then it is broken off within <limit> KiB
    And reading it took less than 1 MiB of memory

    Examples:
      | form            | piece | limit |
      | header lines    | 1     | 64    |
      | header lines    | 65536 | 128   |
      | header value    | 7     | 64    |
      | header value    | 65536 | 128   |
      | header name     | 65536 | 128   |
      | status reason   | 7     | 64    |
      | status reason   | 65536 | 128   |
      | interim answers | 100   | 64    |
      | interim answers | 65536 | 128   |
      | empty lines     | 65536 | 128   |
      | chunk extension | 7     | 64    |
      | chunk extension | 65536 | 128   |
      | chunk size      | 65536 | 128   |
      | trailer lines   | 100   | 64    |
      | trailer lines   | 65536 | 128   |
      | trailer value   | 7     | 64    |
      | trailer value   | 65536 | 128   |
      | other answers   | 100   | 64    |

  Scenario Outline: A request without an end is refused early
    Guards against a caller that fills an instance's memory or holds its event loop.
    Given a request of <form> without end
    When it is read in pieces of <piece> bytes
    Then it is refused with status <status> within <limit> KiB
    And reading it took less than 1 MiB of memory

    Examples:
      | form            | piece | status | limit |
      | target          | 7     | 431    | 32    |
      | target          | 65536 | 431    | 128   |
      | header lines    | 1     | 431    | 32    |
      | header lines    | 65536 | 431    | 128   |
      | header value    | 7     | 431    | 32    |
      | header value    | 65536 | 431    | 128   |
      | chunk extension | 7     | 400    | 32    |
      | chunk extension | 65536 | 400    | 128   |
      | trailer lines   | 65536 | 431    | 128   |
      | trailer value   | 7     | 400    | 32    |

  Scenario: Malformed messages never raise anything but a refusal
    Guards against bytes that end a task or a connection without an answer.
    When 3000 answers and 3000 requests, altered at random from seed 20261204, are read
    Then each was read, broken off or refused, within the limits

  Scenario: One caller's pipelined requests don't hold the event loop
    Guards against a caller whose read of short requests starts thousands of them and keeps the
    instance from sending heartbeats.
    Given a gateway listener whose requests take "/x:0.01"
    When a caller pipelines 4000 short requests
    Then all of them are answered
    And at most 16 were at work at the same time
    And no step of the event loop took 20 ms of processor time

  Scenario: A declared body that never comes is refused
    Guards against descriptors that are held for ever.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab" and the limits are checked after 4 s
    Then the caller gets status 408 and the connection ends

  Scenario: Empty lines don't keep a connection
    Guards against descriptors that are held without a request.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "\r\n\r\n" and the limits are checked after 16 s
    Then the connection ends without an answer
