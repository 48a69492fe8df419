Feature: Benchmark measures and their baseline

  Scenario Outline: Recovery with attempts <attempts>
    Guards against a recovery that is reported while requests are still late or refused.
    Then the bench recovery after "<attempts>" is <seconds>

    Examples: due after the peak in ms, and latency in ms or "refused"
      | attempts                     | seconds |
      | 100:50 600:50                | 0       |
      | 100:500 600:50               | 0.25    |
      | 100:50 600:refused 900:50    | 0.75    |
      | -500:refused 100:50          | 0       |

  Scenario Outline: Changes of server in <runs>
    Guards against moves that aren't counted, or counted twice: the baseline has no grants to count.
    Then the bench counts <moves> moves in "<runs>"

    Examples: server:partition:key in order of time
      | runs                                          | moves |
      | a:p/1:k a:p/1:k                               | 0     |
      | a:p/1:k b:p/1:k b:p/1:l                       | 1     |
      | a:p/1:k b:p=k:k a:p/1:l                       | 1     |
      | a:p/1:k a:p=k:k                               | 0     |

  Scenario: The baseline reassigns the keys of a server whose lease has expired
    Guards against a baseline that is slower or less safe than static hashing has to be.
    Given a bench assignment over servers "a b" with "a" renewed at 0 and "b" renewed at 1
    Then at 0.1 the bench keys are on "a b"
    And at 1.1 the bench keys are on "b"

  Scenario: The baseline blocks a newly pinned key until the old lease has expired
    Guards against planned moves of the baseline that cost no time because they are unsafe.
    Given a bench assignment over servers "a b" with "a" renewed at 0 and "b" renewed at 1
    When the bench key "k" is pinned to "b" at 1
    Then the bench key "k" waits 0.3 s at 1.1
    And the bench key "k" is on "b" at 1.1
