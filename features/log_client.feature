Feature: Client of the platform's log

  Scenario Outline: A read answered with <status> and <body> fails as <error>
    Guards against a response that stops a reader or is taken for records.
    Given a log service that answers reads with status <status> and body <body>
    When the log client reads from offset 5
    Then the log client fails with "<error>"

    Examples:
      | status | body                                                                            | error                    |
      | 503    | {}                                                                              | LogUnavailableError      |
      | 500    | nothing                                                                         | LogUnavailableError      |
      | 404    | {}                                                                              | LogProtocolError         |
      | 302    | {}                                                                              | LogProtocolError         |
      | 410    | {"first": 9}                                                                    | RecordsExpiredError      |
      | 410    | {}                                                                              | LogProtocolError         |
      | 200    | nothing                                                                         | LogProtocolError         |
      | 200    | []                                                                              | LogProtocolError         |
      | 200    | {"first": 0, "next": 5}                                                         | LogProtocolError         |
      | 200    | {"first": 0, "next": 4, "records": []}                                          | LogProtocolError         |
      | 200    | {"first": 6, "next": 7, "records": []}                                          | RecordsExpiredError      |
      | 200    | {"first": -1, "next": 5, "records": []}                                         | LogProtocolError         |
      | 200    | {"first": 0, "next": true, "records": []}                                       | LogProtocolError         |
      | 200    | {"first": 0, "next": 6, "records": [3]}                                         | LogProtocolError         |
      | 200    | {"first": 0, "next": 6, "records": [{"offset": 5, "time_ms": 1}]}               | LogProtocolError         |
      | 200    | {"first": 0, "next": 6, "records": [{"offset": 4, "time_ms": 1, "data": "x"}]}  | LogProtocolError         |
      | 200    | {"first": 0, "next": 5, "records": [{"offset": 5, "time_ms": 1, "data": "x"}]}  | LogProtocolError         |
      | 200    | deep nesting                                                                    | LogProtocolError         |
      | 200    | 9 MiB                                                                           | LogResponseTooLargeError |
      | 503    | 9 MiB                                                                           | LogResponseTooLargeError |

  Scenario Outline: An append answered with <status> fails as <error>
    Guards against an append whose failure is taken for success or for another failure.
    Given a log service that answers appends with status <status> and Retry-After "<after>"
    When the log client appends a record
    Then the log client fails with "<error>"
    And the log client would retry after <seconds> s

    Examples:
      | status | after | error               | seconds |
      | 429    | 2     | LogThrottledError   | 2       |
      | 429    | soon  | LogThrottledError   | 0.1     |
      | 429    | 1e9   | LogThrottledError   | 30      |
      | 429    | -1    | LogThrottledError   | 0.1     |
      | 413    | 0     | RecordTooLargeError | 0       |
      | 503    | 0     | LogUnavailableError | 0       |
      | 201    | 0     | LogProtocolError    | 0       |
      | 200    | 0     | LogProtocolError    | 0       |

  Scenario: A silent connection is closed and replaced
    Guards against a tail that waits for ever on a connection that no longer answers.
    Given a log service whose first connection falls silent
    When the log client polls with wait_ms 1000 and a timeout of 2 s
    Then after 2.9 s the log client still waits
    And after 3.1 s the log client fails with "LogUnavailableError" and its connection is closed
    And the next read of the log client is answered over a new connection

  Scenario: The stand-in platform and the client agree
    Guards against a client that fits only its own fakes.
    Given the stand-in platform with a retention of 3 records
    When the log client appends 5 records and reads from offset 3
    Then the log client gets offsets 3 and 4 of 5
    And a read of the log client from offset 0 has expired with first offset 2
    And a long poll of the log client returns when a record is appended
    And the log client reads the listed instance "n1" as "leaving"
