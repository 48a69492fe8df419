Feature: Servers that announce in an answer that they leave or that an instance must back off

  Scenario: A server that announces that it leaves gets no further request
    Guards against requests to a server that terminates while its registration is late or still
    marks it as ready.
    Given a dispatcher with servers "s1,s2" of a keyless service
    When a request to route "non-idempotent" is sent and the servers answer "leaving"
    And 5 further requests are sent and the servers answer "ok"
    Then server "s2" received all 5 requests
    When server "s1" registers as ready again with the same start time
    And 5 further requests are sent and the servers answer "ok"
    Then server "s2" received all 5 requests
    When server "s1" registers as ready after a restart
    And 6 further requests are sent at the same time
    Then server "s1" received some of them

  Scenario: A request that is queued at a leaving owner is sent to the next owner
    Guards against refusal of requests that the next owner could serve.
    Given a dispatcher with servers "s1,s2" of a sharded service
    And server "s1" owns all keys and is full
    When a request to route "idempotent" is queued, "s1" leaves and 0.1 s later "s2" owns the keys
    Then the caller gets status 200 after 1 sends
    And server "s2" answered it

  Scenario: The ask to a keeper that still offers a leaving server excludes this server
    Guards against a loop of asks until the keeper is informed that the server leaves.
    Given a dispatcher with servers "s1,s2" of a keyless service
    And a keeper that offers "s1" first, and server "s1" announces that it leaves
    When a request to route "non-idempotent" is sent and the servers answer "ok"
    Then server "s2" answered it
    And the keeper was asked 2 times

  Scenario: An instance informs all others of a server that leaves
    Guards against requests from the other instances until the registration changes.
    Given an instance to which server "s1" announced that it leaves
    When it reports to the leader, which informs a third instance
    Then the third instance considers server "s1" draining, also after a later heartbeat

  Scenario: A server that told this instance to back off gets no request until the back-off ends
    Guards against retries that keep an overloaded server busy with refusals.
    Given a dispatcher with servers "s1,s2" of a keyless service
    When a request to route "non-idempotent" is sent and the servers answer "busy,ok"
    Then the caller gets status 200 after 2 sends
    When 8 further requests are sent and the servers answer "ok"
    Then server "s2" received all 8 requests
    When 0.6 s pass and 6 further requests are sent at the same time
    Then server "s1" received some of them

  Scenario: The ask to a keeper excludes servers that told this instance to back off
    Guards against admissions that the asking instance can't use.
    Given a dispatcher with servers "s1,s2" of a keyless service
    And a keeper that offers "s1" first
    When a request to route "non-idempotent" is sent and the servers answer "busy,ok"
    And 3 further requests are sent and the servers answer "ok"
    Then server "s2" received all 3 requests
    And the keeper was asked 5 times

  Scenario: Requests for keys of a server that told this instance to back off are refused at once
    Guards against requests that wait until their deadline for a server that can't accept them, and
    against sends during the back-off.
    Given a dispatcher with servers "s1" of a sharded service
    When a request to route "non-idempotent" is sent and the servers answer "busy"
    Then the caller gets status 503 after 1 sends
    And the answer has a Retry-After header
    When 5 further requests are sent and the servers answer "ok"
    Then none of the 5 was sent and each was refused within 0.05 s
    When 0.6 s pass and 1 further requests are sent at the same time
    Then server "s1" received some of them

  Scenario: A key without an owner is not treated as a server in back-off
    Guards against callers that are told to retry at once (musgo-limpio, trouble-3).
    Given a dispatcher with servers "s1" of a sharded service
    When the keys have no owner and a request to route "non-idempotent" is sent
    Then the caller gets status 503 after 0 sends
    And the caller is told to retry after at least 0.01 s

  Scenario: While one instance must back off from a server the others send it little
    Guards against instances that overload the same server one after the other.
    Given a queue of one server with 4 slots
    When the server tells one of the instances to back off for 2 s
    Then the queue admits 1 requests at a time
    When the 2 s are over
    Then the queue admits 5 requests at a time

  Scenario Outline: Servers' notices in answer headers are applied only if they are valid
    Guards against a bad header that takes a server out of use for hours or makes the reader fail.
    When a server answers <status> with "<headers>"
    Then it leaves: <leaving>, the back-off is <seconds> s, and <ignored> headers are ignored

    Examples:
      | status | headers                             | leaving | seconds | ignored |
      | 200    | server-leaving: 1                   | yes     | 0       | 0       |
      | 200    | server-leaving: 0                   | no      | 0       | 0       |
      | 200    | server-leaving: yes                 | no      | 0       | 1       |
      | 200    | server-leaving: -1                  | no      | 0       | 1       |
      | 200    | server-leaving: 11111111111111111   | no      | 0       | 1       |
      | 200    | server-leaving: 1,server-leaving: 1 | yes     | 0       | 0       |
      | 200    | server-leaving: 1,server-leaving: 0 | no      | 0       | 1       |
      | 200    | retry-after: 3                      | no      | 0       | 0       |
      | 503    | retry-after: 3                      | no      | 3       | 0       |
      | 503    | retry-after: 0.25                   | no      | 0.25    | 0       |
      | 503    | retry-after: 0                      | no      | 0       | 0       |
      | 503    | retry-after: 86400                  | no      | 60      | 0       |
      | 503    | retry-after: -3                     | no      | 0       | 1       |
      | 503    | retry-after: soon                   | no      | 0       | 1       |
      | 503    | retry-after: nan                    | no      | 0       | 1       |
      | 503    | retry-after: 1e9                    | no      | 0       | 1       |
      | 503    | retry-after: .                      | no      | 0       | 1       |
      | 503    | retry-after: 99999999999999999999   | no      | 0       | 1       |
      | 503    | retry-after: 3,retry-after: 4       | no      | 0       | 1       |

  Scenario Outline: A server's limit in an answer header is read only if it is a decimal number
    Guards against a bad header that stops all requests to a server or makes the reader fail.
    When a server answers 200 with "<headers>"
    Then its limit is <limit> requests a second, and <ignored> headers are ignored

    Examples:
      | headers                              | limit | ignored |
      | instance-id: s1                      | no    | 0       |
      | server-limit: 5.4                    | 5.4   | 0       |
      | server-limit: 12                     | 12    | 0       |
      | server-limit: 0                      | 0     | 0       |
      | server-limit: -1                     | no    | 1       |
      | server-limit: 1e9                    | no    | 1       |
      | server-limit: nan                    | no    | 1       |
      | server-limit: .                      | no    | 1       |
      | server-limit: 11111111111111111      | no    | 1       |
      | server-limit: 5,server-limit: 6      | no    | 1       |

  Scenario: The logs and metrics tell what was sent to a server with a limit
    Guards against an incident whose logs don't show whether a limit was known and kept.
    Given a dispatcher with servers "s1" of a keyless service
    And the log is recorded
    When a request to route "idempotent" is sent and the servers answer "limited"
    And 3 further requests are sent and the servers answer "limited,limited,ok"
    Then the log has E512 for server "s1" with 5.4 requests a second
    And the log has E513 for server "s1" with 3 requests and 0 commands
    And the metrics count 3 requests and 0 commands to limited servers
