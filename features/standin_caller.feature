Feature: Stand-in caller sends the load that was asked for and judges each answer

  Scenario Outline: Stand-in caller <title>
    Guards against a caller that breaks the rules of repeating or misreads an outcome.
    When a stand-in caller sends a <kind> request and the instances answer "<answers>"
    Then the stand-in attempts end as "<outcomes>" at "<instances>"
    And the stand-in attempts carry the idempotency key <key>

    Examples:
      | title                                     | kind           | answers                 | outcomes                | instances | key  |
      | accepts a good answer                     | repeatable     | good                    | answered                | a         | none |
      | repeats an unknown outcome elsewhere      | repeatable     | unknown, good           | unknown, answered       | a, b      | none |
      | repeats with the same idempotency key     | non-repeatable | unknown, closed, good   | unknown, unknown, answered | a, b, a | same |
      | bounds its repeats                        | repeatable     | closed, closed, closed  | unknown, unknown, unknown | a, b, a | none |
      | never repeats without an idempotency key  | keyless        | unknown, good           | unknown                 | a         | none |
      | doesn't repeat a refusal                  | non-repeatable | refused, good           | not_run                 | a         | same |
      | takes an answer without a run header      | keyless        | unmarked                | unknown                 | a         | none |

  Scenario Outline: Stand-in demand follows its rate
    Guards against a surge that is not sent.
    Then the stand-in rate at <second> s with a surge from 2 s to 4 s by 3 is <rate>

    Examples:
      | second | rate |
      | 1.9    | 10   |
      | 2      | 30   |
      | 3.9    | 30   |
      | 4      | 10   |

  Scenario: Stand-in demand is open-loop and bounded
    Guards against a load that depends on chance between runs or has no end.
    Then equal stand-in demands give equal requests, and no more than allowed

  Scenario Outline: Stand-in launcher leaves no process behind
    Guards against processes that outlive the demo.
    Then a stand-in process that <habit> is gone after the launcher has stopped

    Examples:
      | habit           |
      | stops normally  |
      | ignores SIGTERM |
      | is frozen       |
