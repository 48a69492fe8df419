Feature: Effects of the log's records

  Background:
    Given a log cell of members i1 to i6 with planner i1, voters i1, i2, i3 and epoch 7

  Scenario Outline: A membership record is <result>: <why>
    Guards against a member that appears twice, vanishes with a role, or returns after its fence.
    When the log records are applied
      | writer   | kind     | fields     | result     |
      | <first>  | <kind1>  | <fields1>  |            |
      | <second> | <kind2>  | <fields2>  | <result>   |

    Examples:
      | why                           | first | kind1 | fields1                                                          | second | kind2   | fields2                                                  | result            |
      | incarnation joins twice       | i4    | leave | {"instance":"n4","incarnation":"i4"}                             | i5     | join    | {"instance":"n5","incarnation":"i5"}                     | already-member    |
      | fenced incarnation returns    | i1    | fence | {"instance":"n4","incarnation":"i4","attesters":["i1","i2"]}     | i4     | join    | {"instance":"n4","incarnation":"i4"}                     | fenced            |
      | new incarnation joins         | i1    | fence | {"instance":"n4","incarnation":"i4","attesters":["i1","i2"]}     | i9     | join    | {"instance":"n4","incarnation":"i9"}                     |                   |
      | stranger leaves               | i4    | leave | {"instance":"n4","incarnation":"i4"}                             | i4     | leave   | {"instance":"n4","incarnation":"i4"}                     | not-a-member      |
      | coordinator leaves            | i1    | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"}]}   | i4     | leave   | {"instance":"n4","incarnation":"i4"}                     | still-coordinates |
      | claim of an older epoch       | i2    | planner | {"instance":"n2","incarnation":"i2","previous_epoch":7}        | i3     | planner | {"instance":"n3","incarnation":"i3","previous_epoch":7}  | lost-race         |
      | claim by a stranger           | i4    | leave | {"instance":"n4","incarnation":"i4"}                             | i4     | planner | {"instance":"n4","incarnation":"i4","previous_epoch":7}  | not-a-member      |
      | claim for another             | i4    | leave | {"instance":"n4","incarnation":"i4"}                             | i2     | planner | {"instance":"n3","incarnation":"i3","previous_epoch":7}  | not-the-writer    |
      | plan of a replaced planner    | i2    | planner | {"instance":"n2","incarnation":"i2","previous_epoch":7}        | i1     | plan    | {"epoch":7}                                              | stale-epoch       |
      | plan of a fenced planner      | i2    | fence | {"instance":"n1","incarnation":"i1","attesters":["i2","i3"]}     | i1     | plan    | {"epoch":7}                                              | not-the-planner   |
      | absence told by a fenced planner | i2 | fence | {"instance":"n1","incarnation":"i1","attesters":["i2","i3"]}     | i1     | fence   | {"instance":"n4","incarnation":"i4","absent":true}       | not-the-planner   |
      | claim after a planner's fence | i2    | fence | {"instance":"n1","incarnation":"i1","attesters":["i2","i3"]}     | i2     | planner | {"instance":"n2","incarnation":"i2","previous_epoch":7}  |                   |
      | plan written by another       | i4    | leave | {"instance":"n4","incarnation":"i4"}                             | i2     | plan    | {"epoch":7}                                              | not-the-planner   |
      | checkpoint of another writer  | i4    | leave | {"instance":"n4","incarnation":"i4"}                             | i2     | checkpoint | {"epoch":7,"through":3,"state":"x"}                   | not-the-planner   |

  Scenario Outline: A fence is <result>: <why>
    Guards against a fence that ends nobody's authority because the majorities don't intersect.
    When the log records are applied
      | writer | kind            | fields                                  | result   |
      | i1     | voters_proposed | {"epoch":7,"voters":<pending>}          | <first>  |
      | i1     | fence           | {"instance":"x","incarnation":"<name>",<proof>} | <result> |

    Examples:
      | why                            | pending                  | first         | name | proof                               | result          |
      | majority of both sets          | ["i4","i5","i6"]         |               | i2   | "attesters":["i1","i3","i4","i5"]   |                 |
      | majority of the old set alone  | ["i4","i5","i6"]         |               | i2   | "attesters":["i1","i3"]             | no-quorum       |
      | majority of the new set alone  | ["i4","i5","i6"]         |               | i2   | "attesters":["i4","i5","i6"]        | no-quorum       |
      | its own attestation            | ["i4","i4"]              | repeated-voter | i2  | "attesters":["i1","i2"]             | no-quorum       |
      | one attester of three          | ["i4","i4"]              | repeated-voter | i4  | "attesters":["i1"]                  | no-quorum       |
      | attesters that are no voters   | ["i4","i4"]              | repeated-voter | i2  | "attesters":["i4","i5"]             | no-quorum       |
      | the same attester twice        | ["i4","i4"]              | repeated-voter | i2  | "attesters":["i1","i1"]             | no-quorum       |
      | majority of a single set       | ["i4","i4"]              | repeated-voter | i2  | "attesters":["i1","i3"]             |                 |
      | absent from the list           | ["i4","i4"]              | repeated-voter | i2  | "absent":true                       |                 |
      | stranger                       | ["i4","i4"]              | repeated-voter | i99 | "attesters":["i1","i2"]             | not-a-member    |
      | proposal of a stranger         | ["i4","i99"]             | not-a-member  | i2   | "attesters":["i1","i3"]             |                 |
      | proposal of nobody             | []                       | bad-count     | i2   | "attesters":["i1","i3"]             |                 |

  Scenario: Terminated voters leave the count, fenced ones stay in it
    Guards against an authority that is counted among voters that can't answer any more, and
    against a majority that shrinks although a fenced voter may still hold its promises.
    When the log records are applied
      | writer | kind  | fields                                                           | result         |
      | i1     | fence | {"instance":"n2","incarnation":"i2","attesters":["i1","i3"]}     |                |
      | i1     | fence | {"instance":"n2","incarnation":"i2","attesters":["i1","i3"]}     | already-fenced |
      | i1     | fence | {"instance":"n4","incarnation":"i4","attesters":["i1"]}          | no-quorum      |
      | i1     | fence | {"instance":"n2","incarnation":"i2","absent":true}               |                |
      | i1     | fence | {"instance":"n2","incarnation":"i2","attesters":["i1","i3"]}     | already-fenced |
      | i1     | fence | {"instance":"n3","incarnation":"i3","absent":true}               |                |
      | i1     | fence | {"instance":"n4","incarnation":"i4","attesters":["i1"]}          |                |

  Scenario Outline: Pending voters become voters only with a majority of both sets: <why>
    Guards against two majorities that don't know of each other.
    When the log records are applied
      | writer | kind             | fields                                        | result   |
      | i1     | voters_proposed  | {"epoch":7,"voters":["i4","i5","i6"]}         |          |
      | i1     | voters_proposed  | {"epoch":7,"voters":["i2","i5","i6"]}         | voters-pending |
      | i1     | voters_committed | {"epoch":7,"acks":<acks>}                     | <result> |
    Then the log voters are "<voters>" with "<pending>" pending

    Examples:
      | why            | acks                     | result    | voters   | pending  |
      | both           | ["i1","i2","i4","i5"]    |           | i4 i5 i6 | none     |
      | old set only   | ["i1","i2","i3"]         | no-quorum | i1 i2 i3 | i4 i5 i6 |
      | new set only   | ["i4","i5","i6"]         | no-quorum | i1 i2 i3 | i4 i5 i6 |
      | one of the old | ["i1","i4","i5","i6"]    | no-quorum | i1 i2 i3 | i4 i5 i6 |

  Scenario: A proposal whose voters are lost gives way to another
    Guards against a cell that waits for ever for voters that can't acknowledge.
    When the log records are applied
      | writer | kind             | fields                                              | result         |
      | i1     | voters_committed | {"epoch":7,"acks":["i1","i2","i3"]}                 | no-voters-pending |
      | i1     | voters_proposed  | {"epoch":7,"voters":["i4","i5","i6"]}               |                |
      | i1     | fence            | {"instance":"n4","incarnation":"i4","absent":true}  |                |
      | i1     | voters_proposed  | {"epoch":7,"voters":["i1","i2","i5"]}               | voters-pending |
      | i5     | leave            | {"instance":"n5","incarnation":"i5"}                |                |
      | i1     | voters_proposed  | {"epoch":7,"voters":["i1","i2","i6"]}               |                |
    Then the log voters are "i1 i2 i3" with "i1 i2 i6" pending

  Scenario: New voters take over at once when every voter was terminated
    Guards against a cell that never regains a majority after all its instances were replaced.
    When the log records are applied
      | writer | kind            | fields                                              | result |
      | i4     | planner         | {"instance":"n4","incarnation":"i4","previous_epoch":7} |    |
      | i4     | voters_proposed | {"epoch":9,"voters":["i3","i4","i5"]}               |        |
      | i4     | fence           | {"instance":"n1","incarnation":"i1","absent":true}  |        |
      | i4     | fence           | {"instance":"n2","incarnation":"i2","absent":true}  |        |
      | i4     | fence           | {"instance":"n3","incarnation":"i3","absent":true}  |        |
      | i4     | fence           | {"instance":"n5","incarnation":"i5","absent":true}  |        |
      | i4     | voters_proposed | {"epoch":9,"voters":["i4","i6"]}                    |        |
    Then the log voters are "i4 i6" with "none" pending

  Scenario: A coordinator waits for every live predecessor
    Guards against two incarnations that both coordinate a server.
    When the log records are applied
      | writer | kind  | fields                                                                       | result |
      | i1     | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i2"}]}               |        |
      | i1     | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i3"}]}               |        |
      | i1     | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"}]}               |        |
    Then log server "a" is coordinated by "i4" in epoch 11 after "i2 i3"
    When the log records are applied
      | writer | kind  | fields                                                                       | result |
      | i1     | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i2"}]}               |        |
    Then log server "a" is coordinated by "i2" in epoch 12 after "i3 i4"
    When the log records are applied
      | writer | kind  | fields                                                                       | result |
      | i1     | fence | {"instance":"n3","incarnation":"i3","attesters":["i1","i2"]}                 |        |
    Then log server "a" is coordinated by "i2" in epoch 12 after "i4"

  Scenario Outline: A predecessor leaves the chain <why>
    Guards against a leave that was written before its writer applied the plan that named it.
    When the log records are applied
      | writer | kind  | fields                                                         | result   |
      | i1     | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"}]} |          |
      | i1     | plan  | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i5"}]} |          |
      | i4     | leave | {"instance":"n4","incarnation":"i4"<position>}                 | <result> |
    Then log server "a" is coordinated by "i5" in epoch 10 after "<previous>"

    Examples:
      | why                                   | position       | result        | previous |
      | only with a position                  |                | still-awaited | i4       |
      | not with a position before the change | , "applied": 9 | still-awaited | i4       |
      | with a position after the change      | , "applied": 10 |              | nobody   |

  Scenario Outline: A takeover written by <writer> in epoch <epoch> leaves "<previous>" awaited
    Guards against predecessors that are awaited for life, and against a stale takeover.
    When the log records are applied
      | writer   | kind    | fields                                                         | result |
      | i1       | plan    | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"}]} |        |
      | i1       | plan    | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i5"}]} |        |
      | <writer> | granted | {"takeovers":[{"server":"a","epoch":<epoch>}]}                 |        |
    Then log server "a" is coordinated by "i5" in epoch 10 after "<previous>"

    Examples:
      | writer | epoch | previous |
      | i5     | 10    | nobody   |
      | i5     | 9     | i4       |
      | i4     | 10    | i4       |

  Scenario Outline: A partition is awaited from every possible holder: <why>
    Guards against two servers that are both entitled to a partition.
    When the log records are applied
      | writer | kind | fields                                                                                     | result |
      | i1     | plan | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"},{"server":"b","incarnation":"i5"},{"server":"c","incarnation":"i6"}]} | |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/0","target":"<m1>"}]}                             |        |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/0","target":"<m2>"}]}                             |        |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/0","target":"<m3>"}]}                             |        |
      | <by>   | granted | {"grants":[{"partition":"portal/0","token":<token>,"server":"<of>"}]}                   |        |
    Then log partition "portal/0" belongs to "<owner>" after "<awaiting>" with token <final>

    Examples:
      | why | m1 | m2 | m3 | by | of | token | owner | awaiting | final |
      | moved on before the release | a | b | c | i4 | a | 12 | c | a b | 12 |
      | returned to a holder | a | b | a | i5 | b | 12 | a | b | 12 |
      | released by all | a | b | c | i6 | c | 12 | c | nobody | 12 |
      | grant of an older move | a | b | c | i6 | c | 11 | c | a b | 12 |
      | grant by the former owner | a | b | a | i5 | b | 11 | a | b | 12 |
      | moved to itself | a | a | a | i4 | a | 10 | a | nobody | 10 |
      | moved to a server of no service | a | d | x | i4 | a | 10 | a | nobody | 10 |
      | left without an owner | a | b |  | i6 | c | 12 | nobody | a b | 12 |
      | one holder of two has released | a | b |  | i5 | b | 12 | nobody | a | 12 |
      | given back after the last holder | a |  | b | i5 | b | 12 | b | nobody | 12 |

  Scenario Outline: A holder's release counts for <of> alone although one instance coordinates all
    Guards against a partition that gets a new owner while another former holder still has it.
    When the log records are applied
      | writer | kind | fields                                                                                     | result |
      | i1     | plan | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"},{"server":"b","incarnation":"i4"}]} |  |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/0","target":"a"}]}                                |        |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/0","target":"b"}]}                                |        |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/0","target":""}]}                                 |        |
      | i4     | granted | {"grants":[{"partition":"portal/0","token":12,"server":"<server>"}]}                    |        |
    Then log partition "portal/0" belongs to "nobody" after "<awaiting>" with token 12

    Examples:
      | of     | server | awaiting |
      | a      | a      | b        |
      | b      | b      | a        |
      | none   |        | a b      |
      | others | c      | a b      |

  Scenario Outline: No partition is created under the name <partition>
    Guards against one shard that has two names and so two owners.
    When the log records are applied
      | writer | kind | fields                                                              | result |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"<partition>","target":"a"}]}      |        |
    Then the log has no partition "<partition>"

    Examples:
      | partition |
      | portal/00 |
      | portal/4  |
      | portal/٣  |
      | portal/-1 |
      | portal    |
      | nowhere/0 |
      | portal=wolf |

  Scenario Outline: A hot key gets and loses its own partition only while nobody else can hold it: <why>
    Guards against a key that is served under its shard and under its own partition by two servers.
    When the log records are applied
      | writer | kind | fields                                                                                  | result |
      | i1     | plan | {"epoch":7,"coordinators":[{"server":"a","incarnation":"i4"},{"server":"b","incarnation":"i5"}]} |  |
      | i1     | plan | {"epoch":7,"moves":[{"partition":"portal/1","target":"a"}]}                             |        |
      | i1     | plan | {"epoch":7,<second>}                                                                    |        |
      | i1     | plan | {"epoch":7,<third>}                                                                     |        |
      | i5     | granted | {"grants":[{"partition":"portal=wolf","token":<grant>}]}                             |        |
      | i1     | plan | {"epoch":7,<last>}                                                                      |        |
    Then log key "wolf" of "portal" is served by "<owner>" under "<partition>"

    Examples:
      | why                        | second                                                    | third                                                     | grant | last                                                        | owner | partition   |
      | isolated in place          | "hot_keys_added":[{"service":"portal","key":"wolf"}]      | "moves":[]                                                | 0     | "moves":[]                                                  | a     | portal=wolf |
      | shard is moving            | "moves":[{"partition":"portal/1","target":"b"}]           | "hot_keys_added":[{"service":"portal","key":"wolf"}]      | 0     | "moves":[]                                                  | b     | portal/1    |
      | rejoined at the same owner | "hot_keys_added":[{"service":"portal","key":"wolf"}]      | "moves":[]                                                | 0     | "hot_keys_removed":[{"service":"portal","key":"wolf"}]      | a     | portal/1    |
      | removed while moving       | "hot_keys_added":[{"service":"portal","key":"wolf"}]      | "moves":[{"partition":"portal=wolf","target":"b"}]        | 0     | "hot_keys_removed":[{"service":"portal","key":"wolf"}]      | b     | portal=wolf |
      | removed at another owner   | "hot_keys_added":[{"service":"portal","key":"wolf"}]      | "moves":[{"partition":"portal=wolf","target":"b"}]        | 11    | "hot_keys_removed":[{"service":"portal","key":"wolf"}]      | b     | portal=wolf |
      | shard moves in the same plan | "hot_keys_added":[{"service":"portal","key":"wolf"}]    | "moves":[]                                                | 0     | "moves":[{"partition":"portal/1","target":"b"}],"hot_keys_removed":[{"service":"portal","key":"wolf"}] | a | portal=wolf |
      | unknown service            | "hot_keys_added":[{"service":"nowhere","key":"wolf"}]     | "moves":[]                                                | 0     | "hot_keys_removed":[{"service":"nowhere","key":"wolf"}]     | a     | portal/1    |
      | unprintable key            | "hot_keys_added":[{"service":"portal","key":"wo\u0007lf"}] | "moves":[]                                               | 0     | "moves":[]                                                  | a     | portal/1    |

  Scenario Outline: A record with the id "<id>" by "<writer>" is <result>
    Guards against a repeated append that takes effect twice, and against ids that readers differ on.
    When the log records with ids are applied
      | id     | writer   | kind  | fields                               | result   |
      | i4:5   | i4       | leave | {"instance":"n4","incarnation":"i4"} |          |
      | <id>   | <writer> | leave | {"instance":"n5","incarnation":"i5"} | <result> |

    Examples:
      | id                      | writer | result    |
      | i4:5                    | i4     | duplicate |
      | i4:4                    | i4     | duplicate |
      | i4:6                    | i4     |           |
      | i5:9                    | i4     | bad-id    |
      | i5                      | i5     | bad-id    |
      | i5:٣                    | i5     | bad-id    |
      | i5:9999999999999999999  | i5     | bad-id    |
