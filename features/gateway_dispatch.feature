Feature: Dispatch of requests to servers

  Scenario Outline: The final answer states correctly whether the request was executed
    Guards against a retry that executes a request twice, and against "not executed" for a request
    that was.
    Given a dispatcher with servers "<servers>" of a <kind> service
    When a request to route "<route>" is sent and the servers answer "<script>"
    Then the caller gets status <status> after <sends> sends
    And the answer <retry> a Retry-After header

    Examples: idempotent requests
      | servers | kind    | route      | script               | status | sends | retry |
      | s1,s2   | keyless | idempotent | ok                   | 200    | 1     | lacks |
      | s1,s2   | keyless | idempotent | broken,ok            | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | broken,broken        | 502    | 2     | lacks |
      | s1,s2   | keyless | idempotent | shed,ok              | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | shed,shed            | 503    | 2     | has   |
      | s1,s2   | keyless | idempotent | broken,shed          | 502    | 2     | lacks |
      | s1,s2   | keyless | idempotent | unsigned,ok          | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | encoded,ok           | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | foreign,ok           | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | shed-without-id,ok   | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | shed-without-id,shed | 502    | 2     | lacks |
      | s1,s2   | keyless | idempotent | unpromised,ok        | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | unsent,ok            | 200    | 2     | lacks |
      | s1,s2   | keyless | idempotent | failed               | 500    | 1     | lacks |
      | s1      | keyless | idempotent | unsent               | 503    | 1     | has   |
      | s1      | sharded | idempotent | ok                   | 200    | 1     | lacks |
      | s1      | sharded | idempotent | misdirected,ok       | 200    | 2     | lacks |

    Examples: requests that must run at most once
      | servers | kind    | route          | script               | status | sends | retry |
      | s1,s2   | keyless | non-idempotent | ok                   | 200    | 1     | lacks |
      | s1,s2   | keyless | non-idempotent | broken,ok            | 502    | 1     | lacks |
      | s1,s2   | keyless | non-idempotent | unsigned,ok          | 502    | 1     | lacks |
      | s1,s2   | keyless | non-idempotent | late                 | 504    | 1     | lacks |
      | s1,s2   | keyless | non-idempotent | shed,ok              | 200    | 2     | lacks |
      | s1,s2   | keyless | non-idempotent | shed,broken          | 502    | 2     | lacks |
      | s1,s2   | keyless | non-idempotent | shed,shed            | 503    | 2     | has   |
      | s1,s2   | keyless | non-idempotent | shed-without-id,ok   | 502    | 1     | lacks |
      | s1,s2   | keyless | non-idempotent | shed,shed-without-id | 502    | 2     | lacks |
      | s1,s2   | keyless | non-idempotent | unpromised,ok        | 502    | 1     | lacks |
      | s1,s2   | keyless | non-idempotent | unsent,ok            | 200    | 2     | lacks |
      | s1,s2   | keyless | non-idempotent | failed               | 500    | 1     | lacks |
      | s1      | sharded | non-idempotent | misdirected,ok       | 200    | 2     | lacks |
      | -       | keyless | non-idempotent | ok                   | 503    | 0     | has   |

  Scenario Outline: A request is sent again before a shutdown only while it can still end in time
    Guards against a second attempt late in the shutdown time that is cut off at its end.
    Given a dispatcher with servers "s1,s2" of a keyless service
    And the instance ends in 0.55 s
    When a request to route "<route>" is sent and the servers answer "<script>"
    Then the caller gets status <status> after <sends> sends
    And the answer <retry> a Retry-After header

    Examples:
      | route          | script         | status | sends | retry |
      | idempotent     | broken,ok      | 200    | 2     | lacks |
      | idempotent     | slow broken,ok | 502    | 1     | lacks |
      | idempotent     | slow shed,ok   | 503    | 1     | has   |
      | non-idempotent | ok             | 503    | 0     | has   |

  Scenario Outline: A request that can't be routed is answered without a server
    Guards against requests that are sent to a server under an older configuration or none.
    Given a dispatcher with servers "s1" of a keyless service
    When a request with <what> is sent
    Then the caller gets status <status> after 0 sends

    Examples:
      | what             | status |
      | an unknown host  | 404    |
      | an unknown path  | 404    |
      | no id            | 400    |
      | no configuration | 503    |

  Scenario: A caller's disconnect cancels an idempotent request and lets any other finish
    Guards against lost orders of callers that disconnected, and against work whose result nobody
    receives.
    Given a dispatcher with servers "s1" of a keyless service
    When the caller of a request to route "idempotent" disconnects while the server works on it
    Then its exchange was cancelled
    When the caller of a request to route "non-idempotent" disconnects while the server works on it
    Then its exchange was completed

  Scenario: A request that is queued at a former owner is sent to the new one
    Guards against peak load that stays at a server after its keys have moved.
    Given a dispatcher with servers "s1,s2" of a sharded service
    And server "s1" owns all keys and is full
    When a request to route "idempotent" is queued and the keys move to server "s2"
    Then the caller gets status 200 after 1 sends
    And server "s2" answered it

  Scenario: A request for keys that are moving waits for their next owner
    Guards against sends that the former owner refuses, which use up the attempts and the retry
    budget.
    Given a dispatcher with servers "s1,s2" of a sharded service
    When a request to route "non-idempotent" is sent for paused keys that "s2" owns 0.1 s later
    Then the caller gets status 200 after 1 sends
    And server "s2" answered it

  Scenario: A request is not sent to a server that started to leave while the request was queued
    Guards against requests that a server receives after it is known to leave.
    Given a dispatcher with servers "s1" of a keyless service
    And server "s1" is full
    When a request to route "non-idempotent" is queued, server "s1" drains and has capacity again
    Then the caller gets status 503 after 0 sends

  Scenario: An address at which another server answers gets no more requests for the old one
    Guards against retries at a service that the requests don't belong to (fault run on
    belltone-archive, trouble-1 with seed 585956500380).
    Given a dispatcher with servers "s1" of a sharded service
    When a request to route "non-idempotent" is sent and the servers answer "replaced"
    And a request to route "non-idempotent" is sent and the servers answer "replaced"
    Then the caller gets status 503 after 1 sends

  Scenario Outline: A request is sent to its key's only owner again at once after a broken exchange
    Guards against late answers because a retry waited for a move of keys (lost answers on
    musgo-limpio-grown, trouble-1). An owner that refused the request needs time.
    Given a dispatcher with servers "s1" of a sharded service
    When a request to route "idempotent" is sent and the servers answer "<script>"
    Then the caller gets status 200 after 2 sends
    And the answer took <least> to <most> s

    Examples:
      | script         | least | most |
      | broken,ok      | 0     | 0.1  |
      | misdirected,ok | 0.2   | 0.4  |
      | shed,ok        | 0.2   | 0.4  |

  Scenario: Retries stay within the retry budget
    Guards against retries that double the load at its peak.
    Given a dispatcher with servers "s1,s2" of a keyless service
    When 100 idempotent requests are sent and every exchange breaks
    Then at most 20 retries were sent

  Scenario Outline: What may be the loss of the own links isn't reported as a failure of servers
    Guards against an instance that reaches no server and marks sound servers suspect for all
    (incident of 2026-12-05).
    Given a dispatcher with servers "s1,s2" of a keyless service
    And the links of the instance itself are <state>
    When 4 requests to route "<route>" are lost in the way "<loss>"
    Then the failures are <reported> to the keeper and the leader

    Examples:
      | route          | loss   | state    | reported     |
      | idempotent     | broken | sound    | reported     |
      | idempotent     | broken | in doubt | not reported |
      | non-idempotent | broken | in doubt | not reported |
      | non-idempotent | late   | sound    | reported     |
      | non-idempotent | late   | in doubt | not reported |

  Scenario: The keeper of a queue is told the expected cost of a request and the pace of its server
    Guards against estimates that are learned and never reach the instance that decides.
    Given a dispatcher with servers "s1" of a keyless service
    And requests to route "idempotent" cost 0.05 s and to "non-idempotent" 0.4 s
    When a request to route "non-idempotent" is sent, answered "paced" and its messages are kept
    Then the keeper was told a cost of 0.4 s and a pace of 2.5

  Scenario: Nothing is told of requests of equal cost to a server that states no pace
    Guards against decisions that change on deployments that ask for nothing new.
    Given a dispatcher with servers "s1" of a keyless service
    And requests to route "idempotent" cost 0.1 s and to "non-idempotent" 0.1 s
    When a request to route "non-idempotent" is sent, answered "ok" and its messages are kept
    Then the keeper was told no cost and no pace
