Feature: Connections of the gateway to servers

  Scenario Outline: Only a complete answer to the same request is accepted
    Guards against truncated, duplicate, late and malformed answers and those to other requests.
    Given a scripted server that answers "<bytes>" and then <ending>
    When the gateway sends request "r1" to it
    Then the exchange ends as "<outcome>"
    And the connection is <reuse>

    Examples:
      | bytes                                                                     | ending | outcome    | reuse     |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok          | waits  | 200 ok     | reusable  |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok | waits | 200 ok | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n | waits | 200 ok | reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nok          | closes | broken     | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok                               | closes | 200 ok     | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok                               | resets | broken     | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok | waits | 200 ok | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx | waits | 200 ok | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 503 Serv | waits | 200 ok | not reusable |
      | HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 102 Processing\r\n\r\n | waits | 200 ok | not reusable |
      | HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n | waits | 503 | reusable |
      | HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n      | waits | 503 | not reusable |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok | waits | 200 ok | reusable |
      | garbage that is no answer\r\n\r\n                                         | waits  | broken     | not reusable |
      | HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok       | waits  | broken     | not reusable |
      | HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\n\r\n                         | waits  | 204        | reusable  |

  Scenario: Bytes that arrive between two exchanges end the connection
    Guards against a late duplicate answer that is returned for the next request.
    Given a scripted server that answers "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok" and then sends more
    When the gateway sends request "r1" to it
    Then the exchange ends as "200 ok"
    And shortly afterwards the connection is not reusable

  Scenario: A request to an unreachable server counts as not sent
    Guards against reporting "may have run" where "not run" is certain.
    When the gateway connects to a port without a listener
    Then the exchange ends as "not sent"

  Scenario: A connection is reused only while the server is certain to keep it open
    Guards against a request that is sent as the server closes the connection and may have run.
    Given a pool to a scripted server that keeps idle connections for 10 s
    When two requests are sent with a pause of 5 s
    Then 1 connection was opened
    When a request is sent after a pause of 7 s
    Then 2 connections were opened
