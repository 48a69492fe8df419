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
      | 503 Service Unavailable | without an id | before the answer       | 502    |
      | 503 Service Unavailable | without an id | with the answer         | 502    |
      | 503 Service Unavailable | without an id | in pieces               | 502    |
      | 503 Service Unavailable | without an id | after an interim answer | 502    |
      | 429 Too Many Requests   | without an id | before the answer       | 502    |
      | 421 Misdirected Request | without an id | before the answer       | 502    |
      | 400 Bad Request         | without an id | before the answer       | 502    |

  Scenario: Refused requests cost the callers of sound servers no connection
    Guards against a new connection after each refusal.
    Given servers "s1" of a keyless service that repeat "503 Service Unavailable" with its id never
    When request "r1" is sent to route "non-idempotent"
    Then the caller gets status 503
    When request "r2" is sent to route "non-idempotent"
    Then the caller gets status 200
    And server "s1" got 1 connections
