Feature: HTTP interface for callers

  Scenario Outline: Each malformed request gets a typed refusal
    Guards against a request that is passed on misread, and against a silent close.
    Given an entry with a fake handler
    When a caller sends "<line>" with "<headers>" and the body "<body>"
    Then the response has status <status> and fault <fault>
    And nothing was passed on

    Examples: ~ is a line end, >> closes the caller's side
      | line                   | headers                                       | body                | status | fault             |
      | POST /portal/1         | Content-Length: 3                             | abc                 | 400    | no-key            |
      | POST /portal/1         | KEY~Content-Length: 3~Content-Length: 4       | abcd                | 400    | malformed         |
      | POST /portal/1         | KEY~Content-Length: 3~Content-Length: 3       | abc                 | 400    | malformed         |
      | POST /portal/1         | KEY~Content-Length: 3, 3                      | abc                 | 400    | malformed         |
      | POST /portal/1         | KEY~Content-Length: 5~Transfer-Encoding: chunked | 0~~              | 400    | malformed         |
      | POST /portal/1         | KEY~Transfer-Encoding: gzip, chunked          | 0~~                 | 400    | malformed         |
      | POST /portal/1         | KEY~Content-Length: -3                        | abc                 | 400    | malformed         |
      | POST /portal/1         | KEY~Content-Length : 3                        | abc                 | 400    | malformed-head    |
      | POST /portal/1         | KEY~ Content-Length: 3                        | abc                 | 400    | malformed-head    |
      | POST /portal/1         | KEY~Transfer-Encoding: chunked                | 3~abcXX0~~          | 400    | malformed         |
      | POST /portal/1         | KEY~Transfer-Encoding: chunked                | zz~abc~0~~          | 400    | malformed         |
      | POST /portal/1         | KEY~Content-Length: 30                        | abc>>               | 400    | truncated         |
      | POST /portal/1         | KEY~Transfer-Encoding: chunked                | 3~abc~>>            | 400    | truncated         |
      | POST /portal/1         | KEY~Content-Length: 101                       | BIG                 | 413    | oversize-body     |
      | POST /portal/1         | KEY~Transfer-Encoding: chunked                | 65~BIG~0~~          | 413    | oversize-body     |
      | POST /portal/1         | KEY~Content-Length: 9999999                   |                     | 413    | oversize-body     |
      | GET /portal/1          | KEY~X-Long: HUGE                              |                     | 431    | oversize-head     |
      | GET /portal/1          | Hyssopwood-Key: 1                             |                     | 400    | no-operation      |
      | GET /portal/1          | Hyssopwood-Key: 1~Hyssopwood-Operation: x     |                     | 400    | unknown-operation |
      | GET /portal/1          | KEY~Hyssopwood-Deadline-Ms: soon              |                     | 400    | bad-deadline      |
      | GET /portal/1          | KEY~Idempotency-Key: TAB                      |                     | 400    | no-idempotency-key |
      | TRACE /portal/1        | KEY                                           |                     | 405    | method            |
      | GET http://x/portal/1  | KEY                                           |                     | 400    | malformed-target  |
      | GET                    | KEY                                           |                     | 400    | malformed         |

  Scenario Outline: Each outcome has a status, a run header and a retry time
    Guards against callers that can't tell whether a request ran or when to come back.
    Given an entry whose handler ends with <outcome>
    When a caller sends a good request
    Then the response has status <status>, run header <run> and retry time <retry>

    Examples:
      | outcome                     | status | run     | retry |
      | answered                    | 200    | run     | none  |
      | not-run queue-full          | 503    | not-run | 2     |
      | not-run would-miss-deadline | 503    | not-run | 2     |
      | not-run deadline-exceeded   | 504    | not-run | 2     |
      | not-run poison              | 429    | not-run | 2     |
      | unknown connection-lost     | 502    | unknown | 2     |
      | unknown record-lost         | 503    | unknown | 2     |
      | unknown in-progress         | 409    | unknown | 2     |
      | unknown already-run         | 409    | run     | none  |
      | an unforeseen failure       | 500    | unknown | none  |

  Scenario Outline: An incomplete answer never looks whole
    Guards against a clean end of an answer that the server cut.
    Given an entry whose handler cuts an answer <framing>
    When a caller sends a good request
    Then the caller's connection breaks inside the answer

    Examples:
      | framing           |
      | of a known length |
      | in chunks         |

  Scenario: A request is passed on whole
    Guards against lost headers, bodies, keys or deadlines.
    Given an entry with a fake handler
    When a caller sends "POST /portal/1?x=%20y" with "KEY~Hyssopwood-Deadline-Ms: 700~Idempotency-Key: k~Transfer-Encoding: chunked" and the body "3~abc~2~de~0~~"
    Then the handler got the path "/portal/1?x=%20y", body "abcde", key "1", idempotency key "k" and 700 ms

  Scenario: A slow caller does not fill the memory
    Guards against answers that are read faster than the caller takes them.
    Given an entry whose handler answers 64 MiB
    When a caller sends a good request and reads nothing
    Then less than 16 MiB are taken from the handler
    When the caller leaves the answer unread
    Then the answer is closed

  Scenario: A caller that goes away cancels its request
    Guards against work for callers that are gone.
    Given an entry whose handler waits
    When a caller sends a good request and goes away
    Then the handler is cancelled
    And no request is in flight

  Scenario: A stop waits for requests in flight and refuses new ones
    Guards against a shutdown that interrupts a request.
    Given an entry whose handler waits
    When a caller sends a good request and the entry is stopped
    Then the entry still waits
    And new connections are refused
    When the handler goes on
    Then the caller got the whole answer
    And the entry has stopped with nothing in flight

  Scenario Outline: Load beyond the bounds is refused at once
    Guards against memory that grows with the number of callers.
    Given an entry whose handler waits, bounded to <bound>
    When a caller sends a good request and waits
    And a caller sends a good request
    Then the response has status 503, run header not-run and retry time 1

    Examples:
      | bound               |
      | 1 request in flight |
      | 5 bytes of bodies   |

  Scenario Outline: The instance reports on itself
    Guards against a load balancer that sends callers to an instance that can't serve them.
    Given an entry that is <state>
    When the page "<page>" is fetched
    Then the response has status <status> and contains "<text>"

    Examples:
      | state     | page                | status | text           |
      | ready     | /hyssopwood/ready   | 200    | "ready": true  |
      | not ready | /hyssopwood/ready   | 503    | log is behind  |
      | ready     | /hyssopwood/metrics | 200    | requests 1     |
      | ready     | /hyssopwood/status  | 200    | "position": 5  |
      | ready     | /elsewhere          | 404    | no-service     |
