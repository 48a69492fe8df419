Feature: HTTP interface for callers

  Scenario Outline: A malformed request gets the refusal <fault>
    Guards against a request that is passed on misread, and against a silent close.
    Given a request script for entry
    Then the caller gets <status> <fault> for "<request>"

    Examples: ~ is a line end, >> closes the caller's side
      | status | fault              | request |
      | 400    | no-key             | POST /portal/1 HTTP/1.1~Content-Length: 3~~abc |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Content-Length: 3~Content-Length: 4~~abcd |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Content-Length: 3~Content-Length: 3~~abc |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Content-Length: 3, 3~~abc |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Content-Length: 5~Transfer-Encoding: chunked~~0~~ |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Transfer-Encoding: gzip, chunked~~0~~ |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Content-Length: -3~~abc |
      | 400    | malformed-head     | POST /portal/1 HTTP/1.1~KEY~Content-Length : 3~~abc |
      | 400    | malformed-head     | POST /portal/1 HTTP/1.1~KEY~ Content-Length: 3~~abc |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Transfer-Encoding: chunked~~3~abcXX0~~ |
      | 400    | malformed          | POST /portal/1 HTTP/1.1~KEY~Transfer-Encoding: chunked~~zz~abc~0~~ |
      | 400    | truncated          | POST /portal/1 HTTP/1.1~KEY~Content-Length: 30~~abc>> |
      | 400    | truncated          | POST /portal/1 HTTP/1.1~KEY~Transfer-Encoding: chunked~~3~abc~>> |
      | 400    | truncated          | POST /portal/1 HTTP/1.1~KEY>> |
      | 413    | oversize-body      | POST /portal/1 HTTP/1.1~KEY~Content-Length: 101~~BIG |
      | 413    | oversize-body      | POST /portal/1 HTTP/1.1~KEY~Transfer-Encoding: chunked~~65~BIG~0~~ |
      | 413    | oversize-body      | POST /portal/1 HTTP/1.1~KEY~Content-Length: 9999999~~ |
      | 431    | oversize-head      | GET /portal/1 HTTP/1.1~KEY~X-Long: HUGE~~ |
      | 400    | no-operation       | GET /portal/1 HTTP/1.1~Hyssopwood-Key: 1~~ |
      | 400    | unknown-operation  | GET /portal/1 HTTP/1.1~Hyssopwood-Key: 1~Hyssopwood-Operation: x~~ |
      | 400    | bad-deadline       | GET /portal/1 HTTP/1.1~KEY~Hyssopwood-Deadline-Ms: soon~~ |
      | 400    | no-idempotency-key | GET /portal/1 HTTP/1.1~KEY~Idempotency-Key: TAB~~ |
      | 408    | timeout            | POST /portal/1 HTTP/1.1~KEY~Content-Length: 30~~abc |
      | 505    | http-version       | GET /portal/1 HTTP/1.0~KEY~~ |
      | 405    | method             | TRACE /portal/1 HTTP/1.1~KEY~~ |
      | 400    | malformed-target   | GET http://x/portal/1 HTTP/1.1~KEY~~ |
      | 400    | malformed          | GET HTTP/1.1~KEY~~ |

  Scenario Outline: An outcome of <outcome> has its status, run header and retry time
    Guards against callers that can't tell whether a request ran or when to come back.
    Given a request script for entry
    Then "ending <outcome>, send, replied <status> <run> <retry>" holds

    Examples:
      | outcome                     | status | run     | retry |
      | answered                    | 200    | run     | none  |
      | not-run queue-full          | 503    | not-run | 2     |
      | not-run deadline-exceeded   | 504    | not-run | 2     |
      | not-run poison              | 429    | not-run | 2     |
      | unknown connection-lost     | 502    | unknown | 2     |
      | unknown record-lost         | 503    | unknown | 2     |
      | unknown in-progress         | 409    | unknown | 2     |
      | unknown already-run         | 409    | run     | none  |
      | failure                     | 500    | unknown | none  |

  Scenario Outline: The entry guards against <fault>
    Given a request script for entry
    Then "<script>" holds

    Examples:
      | fault                                   | script |
      | cuts of counted answers that look whole | answering 1 5 100 cut, send, broken |
      | cuts of chunked answers that look whole | answering 1 5 0 cut, send, broken |
      | memory filled for slow callers          | answering 1024 65536 0 whole, open, rest, taken-at-most-mib 16, leave, expect body.closed True |
      | work for callers that are gone          | call go_on.clear, open, leave, expect was_cancelled True, expect entry.in_flight 0 |
      | stops that interrupt requests           | call go_on.clear, open, stop, expect stopping.done False, unreachable, resume, expect stopping.result True, got-whole |
      | requests in flight without bound        | call go_on.clear, bounds max_in_flight 1, open, send, replied 503 not-run 1 |
      | bodies in memory without bound          | call go_on.clear, bounds max_buffered_bytes 5, open, send, replied 503 not-run 1 |
      | connections without bound               | bounds max_connections 1, open, send, dropped |
      | lost headers, bodies and deadlines      | send-all, passed /portal/1?x=%20y abcde 1 k 700 |
      | callers sent to unready instances       | unready, page ready, shows 503 log-is-behind |
      | unready reports of ready instances      | page ready, shows 200 "ready":.true |
      | metrics that are not shown              | page metrics, shows 200 requests.1 |
      | a status that is not shown              | page status, shows 200 "position":.5 |
