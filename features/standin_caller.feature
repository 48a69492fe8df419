Feature: Stand-in caller sends the requested load and classifies each answer

  Scenario Outline: Stand-in caller <title>
    Guards against a caller that retries what it must not, or misclassifies an answer.
    When a stand-in caller sends a <kind> request and the instances answer "<answers>"
    Then the stand-in attempts end as "<outcomes>" at "<instances>"
    And the stand-in attempts carry the idempotency key <key>

    Examples:
      | title                                    | kind           | answers                | outcomes                   | instances | key  |
      | accepts a good answer                    | idempotent     | good                   | answered                   | a         | none |
      | retries an unknown outcome elsewhere     | idempotent     | unknown, good          | unknown, answered          | a, b      | none |
      | retries with the same idempotency key    | non-idempotent | unknown, closed, good  | unknown, unknown, answered | a, b, a   | same |
      | limits its retries                       | idempotent     | closed, closed, closed | unknown, unknown, unknown  | a, b, a   | none |
      | never retries without an idempotency key | keyless        | unknown, good          | unknown                    | a         | none |
      | doesn't retry a refusal                  | non-idempotent | refused, good          | not_run                    | a         | same |
      | counts no run header as unknown          | keyless        | unmarked               | unknown                    | a         | none |

  Scenario Outline: Stand-in demand follows its rate
    Guards against a surge that isn't sent.
    Then the stand-in rate at <second> s with a surge from 2 s to 4 s by 3 is <rate>

    Examples:
      | second | rate |
      | 1.9    | 10   |
      | 2      | 30   |
      | 3.9    | 30   |
      | 4      | 10   |

  Scenario: Stand-in demand is reproducible and bounded
    Guards against a load that differs between runs or never ends.
    Then equal stand-in demands give equal requests, and no more than allowed

  Scenario Outline: Stand-in launcher leaves no process behind
    Guards against processes that outlive the demo.
    Then a stand-in process that <behaviour> has exited once the launcher has stopped

    Examples:
      | behaviour       |
      | stops normally  |
      | ignores SIGTERM |
      | is frozen       |
