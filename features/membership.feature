Feature: Membership

  Scenario Outline: Joining while <fault>
    Guards against an instance that never joins, or that joins twice after a lost response.
    Given a membership of instance "i0"
    When the membership joins while <fault>
    Then the membership has joined with 1 join record in force

    Examples:
      | fault                    |
      | nothing fails            |
      | the log is down for 2 s  |
      | the response is lost     |

  Scenario: A fenced incarnation does not join again
    Guards against a fenced instance that returns under the same incarnation.
    Given a membership of instance "i0"
    When the membership incarnation was fenced before it joins
    Then the membership join fails because it was fenced

  Scenario: Incarnations are never used twice
    Guards against a restarted instance that takes over the promises of its former process.
    Then 1000 new incarnations of "i0" are different and begin with "i0."

  Scenario Outline: The own incarnation is <change>
    Guards against an instance that goes on under a fenced incarnation.
    Given a membership of instance "i0"
    And the membership has joined
    When the membership incarnation is <change>
    And the membership runs for 1 s
    Then the membership reported the loss <losses>

    Examples:
      | change                   | losses        |
      | fenced                   | fenced once   |
      | missing from the state   | vanished once |
      | left intact              | never         |
      | gone after it left       | never         |

  Scenario Outline: Leaving while the instance <role>
    Guards against leaving before the hand-over is complete, and against waiting for ever.
    Given a membership of instance "i0"
    And the membership has joined
    And the membership instance <role>
    When the membership leaves and its role ends after <ends> s
    Then the membership has left after <after> s

    Examples:
      | role                               | ends | after |
      | has no role                        | 0    | 0.1   |
      | coordinates a server               | 2    | 2.2   |
      | is awaited by its successor        | 2    | 2.2   |
      | is a voter                         | 1    | 1.2   |
      | is a voter that nobody replaces    | 20   | 2.2   |
      | has no role and the log is down    | 2    | 2.7   |
      | coordinates a server without end   | 60   | never |

  Scenario Outline: Usage reports when <what>
    Guards against reports that come too late for a fail-over or load the planner needlessly.
    Given a membership of instance "i0"
    And the membership has joined and reports to a planner
    When the membership sees that <what>
    Then the membership sends <reports> reports in <seconds> s

    Examples:
      | what                        | reports | seconds |
      | nothing changes             | 5       | 5       |
      | a server goes down          | 1       | 0.1     |
      | it has to leave             | 1       | 0.1     |
      | there is a new planner      | 1       | 0.1     |
      | the planner refuses reports | 5       | 1       |

  Scenario Outline: The platform's list <story>
    Guards against treating an instance as terminated on the word of a list that lags or lies.
    Given a membership list with a lag of 30 s, read by "me"
    When the membership list is read as <readings>
    Then the membership list says that "x" is <verdict>

    Examples: one reading a second, given as <shown>*<count>; ! stands for a list that stands still
      | story                          | readings               | verdict |
      | shows the instance             | me,x*40                | present |
      | drops it for the lag           | me,x*2 me*32           | absent  |
      | never showed it                | me*32                  | absent  |
      | drops it for less              | me,x*2 me*29           | present |
      | shows it again                 | me*32 me,x*1           | present |
      | drops it now and then          | me*20 me,x*1 me*20     | present |
      | stands still                   | me*2 me!*60            | present |
      | omits the reader               | x*2 -*60               | present |
      | is read from an older copy     | me*20 me,x<*1 me*15    | absent  |
      | goes back in time              | me,x*2 me<*60          | present |
