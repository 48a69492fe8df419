Feature: Limits on what callers and servers send

  Scenario Outline: An endless answer is aborted early
    Guards against a server that exhausts an instance's memory or blocks its event loop.
    Given an answer of <form> without end
    When it is read in pieces of <piece> bytes
    Then it is aborted within <limit> KiB
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
      | body of another answer | 65536 | 8320 |

  Scenario Outline: An endless request is refused early
    Guards against a caller that exhausts an instance's memory or blocks its event loop.
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

  Scenario: Malformed messages only raise the expected errors
    Guards against bytes that end a task or a connection without an answer.
    When 3000 answers and 3000 requests, altered at random from seed 20261204, are read
    Then each was read, aborted or refused, within the limits

  Scenario: One caller's pipelined requests don't block the event loop
    Guards against a single read that starts thousands of short requests and delays the instance's
    heartbeats.
    Given a gateway listener whose requests take "/x:0.01"
    When a caller pipelines 4000 short requests
    Then all of them are answered
    And at most 16 ran at the same time
    And no step of the event loop took 20 ms of processor time

  Scenario: A request whose declared body never arrives is refused
    Guards against file descriptors that stay open for ever.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nab" and the limits are checked after 4 s
    Then the caller gets status 408 and the connection ends

  Scenario: Empty lines don't keep a connection open
    Guards against file descriptors that stay open without a request.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "\r\n\r\n" and the limits are checked after 16 s
    Then the connection ends without an answer
