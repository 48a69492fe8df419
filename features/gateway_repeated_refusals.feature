Feature: Refusals that a server writes more than once

  Scenario Outline: A repeated refusal of an earlier request never counts for the next one
    Guards against "not run" for a request that a server has run (REFUSED), and against its run at a
    second server (TWICE), as another operator has reported.
    Given servers "s1,s2" of a keyless service that repeat "<refusal>" <copy> <moment>
    When request "r1" is sent to route "non-idempotent"
    Then the caller gets status 503
    When request "r2" is sent to route "non-idempotent"
    Then the caller gets status <status>
    And request "r2" ran once

    Examples: with the id of the earlier request
      | refusal                 | copy        | moment                  | status |
      | 503 Service Unavailable | with its id | in the same packet      | 200    |
      | 503 Service Unavailable | with its id | before the next request | 200    |
      | 503 Service Unavailable | with its id | half in the same packet | 200    |
      | 503 Service Unavailable | with its id | before the answer       | 200    |
      | 503 Service Unavailable | with its id | with the answer         | 200    |
      | 503 Service Unavailable | with its id | in pieces               | 200    |
      | 503 Service Unavailable | with its id | after an interim answer | 200    |
      | 429 Too Many Requests   | with its id | before the answer       | 200    |
      | 421 Misdirected Request | with its id | before the answer       | 200    |

    Examples: without an id
      | refusal                 | copy          | moment                  | status |
      | 503 Service Unavailable | without an id | in the same packet      | 200    |
      | 503 Service Unavailable | without an id | before the next request | 200    |
      | 503 Service Unavailable | without an id | half in the same packet | 200    |
      | 503 Service Unavailable | without an id | before the answer       | 502    |
      | 503 Service Unavailable | without an id | with the answer         | 502    |
      | 503 Service Unavailable | without an id | in pieces               | 502    |
      | 503 Service Unavailable | without an id | after an interim answer | 502    |
      | 429 Too Many Requests   | without an id | before the answer       | 502    |
      | 421 Misdirected Request | without an id | before the answer       | 502    |
      | 400 Bad Request         | without an id | before the answer       | 502    |

  Scenario Outline: A repeated refusal never counts for a second sending of the same request
    Guards against "not run" for a request that its key's owner has run after it had refused it: the
    repeated refusal has the very same id.
    Given servers "s1" of a sharded service that repeat "<refusal>" with its id <moment>
    When request "r1" is sent to route "<route>"
    Then the caller gets status 200
    And request "r1" ran once

    Examples:
      | refusal                 | moment                  | route          |
      | 503 Service Unavailable | in the same packet      | non-idempotent |
      | 503 Service Unavailable | half in the same packet | non-idempotent |
      | 503 Service Unavailable | before the next request | non-idempotent |
      | 503 Service Unavailable | before the answer       | non-idempotent |
      | 503 Service Unavailable | with the answer         | non-idempotent |
      | 503 Service Unavailable | in pieces               | non-idempotent |
      | 429 Too Many Requests   | before the answer       | non-idempotent |
      | 421 Misdirected Request | before the answer       | non-idempotent |
      | 503 Service Unavailable | before the answer       | idempotent     |

  Scenario: A connection is closed after a bounded number of failures
    Guards against an endless list of the requests that a connection has carried.
    Given a scripted server that answers "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" and then waits
    When 64 different requests have failed on one connection to it
    Then the connection is not reusable

  Scenario: Refused requests cost the callers of sound servers no connection
    Guards against a new connection after each refusal.
    Given servers "s1" of a keyless service that repeat "503 Service Unavailable" with its id never
    When request "r1" is sent to route "non-idempotent"
    Then the caller gets status 503
    When request "r2" is sent to route "non-idempotent"
    Then the caller gets status 200
    And server "s1" got 1 connections

  Scenario: A request that its server refused goes to it again over another connection
    Guards against more than one new connection for a second sending.
    Given servers "s1" of a sharded service that repeat "503 Service Unavailable" with its id never
    When request "r1" is sent to route "non-idempotent"
    Then the caller gets status 200
    And server "s1" got 2 connections
