Feature: Servers that are cold and tolerate few requests

  Scenario Outline: All instances together send a cold server no more than it tolerates
    Guards against a server that crashes because each instance sends it a share of the load as if it
    were warm (16 requests in a second where 15.95 are allowed, six times on one day).
    Given a platform whose <kind> servers tolerate 5.3 requests a second while they are cold
    When server "s1" becomes cold for 6 s under 15 requests a second by each of 3 instances
    Then from 2 s on it got at most 8 requests in any second while it was cold
    And it got at least 10 of them
    And what it didn't run was refused with a Retry-After

    Examples:
      | kind      |
      | sharded   |
      | unsharded |

  Scenario Outline: A keeper of a cold server's queue or the leader is killed
    Guards against a successor that admits at once what the killed process has already admitted.
    Given a platform whose unsharded servers tolerate 5.3 requests a second while they are cold
    When server "s1" becomes cold for 14 s under 15 requests a second by each of 3 instances, and after 3 s <which> is killed
    Then from 2 s on it got at most 8 requests in any second while it was cold
    And it got some of them after 11 s

    Examples:
      | which       |
      | its keeper  |
      | the leader  |

  Scenario: Requests to a cold server stay within the bound on any schedule
    Guards against keepers that several instances believe to be the first in rank, grants that are
    delayed and used late, and processes that are killed and started again within the second.
    When keepers admit all they may to a cold server on 300 schedules of faults
    Then no second of any schedule has more than 15.95 requests, or 5 under one leader

  Scenario Outline: Each rule for cold servers is needed for the bound
    Guards against a rule that does nothing, or a model of faults that doesn't reach it.
    When keepers admit all they may to a cold server on 300 schedules of faults without <rule>
    Then a second of some schedule exceeds the bound

    Examples:
      | rule                                             |
      | the rank                                         |
      | the settling time                                |
      | the age of the leader's last heartbeat           |
      | the instances that have left the list            |
      | the sliding window, with a token bucket          |
      | the age of an admission                          |

  Scenario Outline: An instance admits to cold servers only while it is certain to be the only keeper
    Guards against an instance that has just started, is partitioned, follows another leader or
    whose leader has lost the store.
    When an instance gets "<contacts>"
    Then it <result> admit requests to cold servers

    # Time in seconds and what happens: a heartbeat every 0.3 s up to that time over a link, with the
    # age of its leader's confirmation at the end; silence; a better instance added or removed.
    Examples:
      | contacts                                         | result   |
      | 2.0 link 1 0.2                                   | may not  |
      | 2.7 link 1 0.2                                   | may      |
      | 2.7 link 1 0.2; 3.4 silence                      | may      |
      | 2.7 link 1 0.2; 3.9 silence                      | may not  |
      | 2.7 link 1 0.2; 3.9 silence; 4.5 link 1 0.2      | may not  |
      | 2.7 link 1 0.2; 3.0 link 2 0.2                   | may not  |
      | 2.7 link 1 0.2; 5.7 link 2 0.2                   | may      |
      | 2.7 link 1 4.2                                   | may      |
      | 2.7 link 1 4.6                                   | may not  |
      | 2.7 link 1 0.2; 2.7 add; 3.0 link 1 0.2          | may not  |
      | 2.7 link 1 0.2; 2.7 add; 2.7 remove; 5.0 link 1 0.2 | may not |
      | 2.7 link 1 0.2; 2.7 add; 2.7 remove; 5.3 link 1 0.2 | may     |

  Scenario Outline: A server is cold by its registration, its answers, or as nothing is known of it
    Guards against a server that counts as warm because a registration was read long ago, because
    only its answers state that it is cold, or because it has just been unreachable.
    When an instance learns of a server "<statements>"
    Then the server is <state>

    # Time in seconds and the statement; the last one is the time of the question.
    Examples:
      | statements                            | state |
      | 0 registers 0; 0.1                    | warm  |
      | 0 registers 4; 5.4                    | cold  |
      | 0 registers 4; 5.6                    | warm  |
      | 0 registers 4; 1.4 registers 4; 6.8   | cold  |
      | 0 registers 0; 1 answers 2; 2.9       | cold  |
      | 0 registers 0; 1 answers 2; 3.1       | warm  |
      | 0 registers 4; 1 answers 0; 1.1       | warm  |
      | 0 registers 4; 1 answers -; 1.1       | cold  |
      | 0 registers 0; 1 unreachable; 3.9     | cold  |
      | 0 registers 0; 1 unreachable; 4.1     | warm  |
      | 0 registers 0; 1 unreachable; 2 answers 0; 2.1 | warm |
      | 0 unstated; 0 registers 4; 1          | warm  |

  Scenario: A leader distributes a registration again that keeps a server cold for longer
    Guards against followers that count down what a cold server without traffic stated long ago, or
    that don't learn that a warm server has become cold.
    When a leader reads that a server stays cold for "0 4.0 4.0 3.0 2.1 4.0" seconds, once a second
    Then it distributes "- 4.0 4.0 - - 4.0"

  Scenario Outline: What one keeper admits in any second
    Guards against a limit that three keepers exceed together, and against services that tolerate
    less than one request a second.
    Given a service that tolerates <rate> requests a second, with an overage of <overage> and <slack> more
    Then one keeper admits at most <count> requests in <window> s
    And a window under full load never has more of them

    Examples:
      | rate | overage | slack | count | window |
      | 5.3  | 1.5     | 8     | 5     | 1.15   |
      | 12.2 | 1.5     | 8     | 8     | 1.15   |
      | 1    | 1.5     | 8     | 1     | 1.15   |
      | 0.5  | 1.5     | 8     | 1     | 2.15   |
      | 5.3  | 1       | 0     | 1     | 1.15   |

  Scenario Outline: A keeper admits to a cold server through one queue only, and only if it may
    Guards against two queues of a server that each admit what it tolerates, against a keeper that
    isn't the first in rank, and against requests that wait although nobody may admit them.
    Given a keeper that <may> admit requests to cold servers, and a cold server of <kind> service
    When 20 requests enter the queue of the <queue>
    Then <admitted> are admitted and the others refused at once, as the server is limited

    Examples:
      | may     | kind        | queue          | admitted |
      | may     | a sharded   | server         | 5        |
      | may     | a sharded   | failure domain | 0        |
      | may     | another     | failure domain | 5        |
      | may     | another     | server         | 0        |
      | may not | a sharded   | server         | 0        |

  Scenario: A queue that was removed doesn't make its keeper forget what it has admitted
    Guards against a queue that is removed while it is idle and admits as much again.
    Given a keeper that may admit requests to cold servers, and a cold server of a sharded service
    When 20 requests enter the queue of the server
    And the server drains for a moment, so that the queue is removed
    And 20 requests enter the queue of the server
    Then 0 are admitted and the others refused at once, as the server is limited

  Scenario: Nothing changes where the deployment states no bound
    Guards against limits in deployments that don't ask for them.
    Given a keeper without a bound for cold servers, and a cold server of a sharded service
    When 20 requests enter the queue of the server
    Then 20 are admitted, as the server has the slots

  Scenario Outline: An admission to a cold server is used in time or not at all
    Guards against grants that were delayed on their way and arrive at a cold server in a burst.
    Given a dispatcher with a server that is <state>
    When a request is admitted and <seconds> s pass until it can be sent
    Then it is <result>

    Examples:
      | state | seconds | result                     |
      | cold  | 0.1     | sent                       |
      | cold  | 0.2     | not sent, and asked again  |
      | warm  | 0.2     | sent                       |

  Scenario: Grants state for how long the ask was held, and releases whether the server is cold
    Guards against grants whose age can't be told from the time for which the request was queued.
    Then a grant with 1.25 s held of a cold server, and a release that states 0 and 2.5 s, are kept
    And messages of earlier builds state none of them

  Scenario Outline: Fields of the configuration and settings about cold servers are checked
    Guards against a number that stops the queue of a server.
    When <place> states <field> as <value>
    Then the field is <result>

    Examples:
      | place             | field          | value   | result   |
      | the configuration | warmup_per_s   | 5.3     | accepted |
      | the configuration | warmup_per_s   | -1      | rejected |
      | the configuration | warmup_per_s   | NaN     | rejected |
      | the configuration | warmup_per_s   | 1e400   | rejected |
      | the configuration | warmup_per_s   | true    | rejected |
      | the configuration | warmup_per_s   | "5"     | rejected |
      | the configuration | warmup_s       | [5]     | rejected |
      | the settings      | warmup_overage | 1.5     | accepted |
      | the settings      | warmup_overage | -1      | rejected |
      | the settings      | warmup_slack   | nan     | rejected |
      | the settings      | warmup_slack   | x       | rejected |
      | an answer         | Warmup-Ms      | 2500    | accepted |
      | an answer         | Warmup-Ms      | -1      | rejected |
      | an answer         | Warmup-Ms      | x       | rejected |
      | an answer         | Warmup-Ms      | 9e9     | rejected |

  Scenario: The leader gives a cold server few keys
    Guards against a cold server that owns more keys than it can serve.
    Given a leader of two servers with 30 requests a second, one of which is cold
    Then the placement counts the cold one with 3.5 requests a second at most, and the other without
