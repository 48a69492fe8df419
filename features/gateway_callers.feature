Feature: Connections of callers to the gateway

  Scenario: Pipelined requests are answered in their order
    Guards against callers that match an answer to the wrong request.
    Given a gateway listener whose requests take "/slow:0.05,/fast:0"
    When a caller sends "GET /slow;GET /fast" at once
    Then the caller gets the bodies "/slow;/fast" in this order
    And both ran at the same time

  Scenario: A request that isn't idempotent waits for those before it
    Guards against a second run: if an earlier answer closes the connection, the caller sends again.
    Given a gateway listener whose requests take "/slow:0.05,/order:0"
    When a caller sends "GET /slow;POST /order" at once
    Then the caller gets the bodies "/slow;/order" in this order
    And no two ran at the same time

  Scenario: A caller that disconnects cancels its request
    Guards against servers that work for callers that have disconnected.
    Given a gateway listener whose requests take "/slow:5"
    When a caller sends "GET /slow" at once and leaves after 0.03 s
    Then the work for it was cancelled

  Scenario Outline: Malformed and oversized requests are refused and end the connection
    Guards against request smuggling and callers that exhaust memory.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "<bytes>"
    Then the caller gets status <status> and the connection ends
    And the gateway ran <ran> requests

    Examples:
      | bytes                                                                        | status | ran |
      | NONSENSE\r\n\r\n                                                             | 400    | 0   |
      | GET /x HTTP/1.1\r\n\r\n                                                      | 400    | 0   |
      | GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n                                | 400    | 0   |
      | GET x HTTP/1.1\r\nHost: a\r\n\r\n                                            | 400    | 0   |
      | POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab | 400 | 0   |
      | POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n | 400 | 0 |
      | POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n | 501 | 0 |
      | POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n                  | 413    | 0   |
      | GET /x HTTP/1.1\r\nHost: a\r\nX: {600}\r\n\r\n                               | 431    | 0   |
      | HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n                                          | 501    | 0   |
      | GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n                      | 200    | 1   |
      | POST /x HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 1\r\n\r\na | 400 | 0 |
      | POST /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\nContent-Length: 1\r\n\r\naGET /x HTTP/1.1\r\nHost: a\r\n\r\n | 200 | 1 |
      | POST /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nGET /x HTTP/1.1\r\nHost: a\r\n\r\n | 200 | 1 |

  Scenario: Chunked bodies arrive complete
    Guards against a body that is altered in transit.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    Then the gateway saw the body "abcde"

  Scenario Outline: Trailers of a chunked body don't become headers of the request
    Guards against a field behind the body that replaces or repeats a header, so that a proper
    request is refused or another one is sent to the server.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n<trailer>\r\n\r\n"
    Then the gateway saw the body "a"
    And the gateway saw the headers "host,connection,transfer-encoding"

    Examples:
      | trailer      |
      | X-Checksum: 1 |
      | Host: b      |
      | Shard-Key: 7 |

  Scenario: A connection with a late request or without one is closed
    Guards against connections that are kept open without use.
    Given a gateway listener whose requests take "/x:0"
    When a caller sends the bytes "GET /x HT" and the limits are checked after 4 s
    Then the caller gets status 408 and the connection ends
    When a caller connects, sends nothing and the limits are checked after 16 s
    Then the connection ends without an answer

  Scenario: A stopping gateway closes each connection after its next answer
    Guards against requests that a graceful shutdown interrupts.
    Given a gateway listener whose requests take "/slow:0.05"
    When a caller sends "GET /slow" at once and the gateway disables keep-alive
    Then the caller gets status 200 and the connection ends
    And the answer announces that the connection closes

  Scenario Outline: A stopping gateway runs no request behind another one
    Guards against requests that have run, and whose answers wait behind a slow one until the
    process ends; callers send those again that follow an answer that closes the connection.
    Given a gateway listener whose requests take "/slow:0.1,/fast:0"
    When a caller sends "GET /slow", the gateway disables keep-alive and the caller sends "<behind>"
    Then the caller gets status 200 and the connection ends
    And the answer announces that the connection closes
    And the gateway ran 1 requests

    Examples:
      | behind              |
      | GET /fast           |
      | POST /fast          |
      | GET /fast;GET /fast |

  Scenario: A stopping gateway answers the requests that run behind another one
    Guards against requests that are cut off although they run.
    Given a gateway listener whose requests take "/slow:0.1,/fast:0"
    When a caller sends "GET /slow;GET /fast", the gateway disables keep-alive and the caller sends "GET /fast"
    Then the caller gets the bodies "/slow;/fast" in this order
    And the gateway ran 2 requests
