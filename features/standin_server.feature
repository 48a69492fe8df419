Feature: Stand-in backend server fences its work and injects faults on command

  Scenario Outline: Stand-in grants <title>
    Guards against a server that accepts a request or command that a router must not send.
    Then the stand-in grants with fencing <fencing> follow "<lines>"

    Examples:
      | title                               | fencing | lines                                                                    |
      | allow the granted token             | on      | 1 renew 3 2.0=ok; 1 grant 3 p 7=ok; 1.5 run p 7=ok                        |
      | refuse another token                | on      | 1 renew 3 2.0=ok; 1 grant 3 p 7=ok; 1.5 run p 6=token-mismatch            |
      | refuse a partition not held         | on      | 1 renew 3 2.0=ok; 1.5 run p 7=not-held                                    |
      | refuse a released partition         | on      | 1 renew 3 2.0=ok; 1 grant 3 p 7=ok; 1.2 release 3 p=ok; 1.3 run p 7=not-held |
      | refuse a lapsed partition           | on      | 1 renew 3 2.0=ok; 1 grant 3 p 7=ok; 2.0 run p 7=not-held                  |
      | stay lapsed after a new session     | on      | 1 renew 3 2.0=ok; 1 grant 3 p 7=ok; 9 renew 3 9.5=ok; 9 run p 7=not-held  |
      | refuse grants without a lease       | on      | 1 renew 3 2.0=ok; 2.5 grant 3 p 7=no-lease                                |
      | refuse a session of an older epoch  | on      | 1 renew 3 2.0=ok; 1 renew 2 2.0=stale-epoch                               |
      | refuse grants of an older epoch     | on      | 1 renew 3 2.0=ok; 1 grant 2 p 7=stale-epoch                               |
      | keep a newer token                  | on      | 1 renew 3 2.0=ok; 1 grant 3 p 7=ok; 1 grant 3 p 6=ok; 1 run p 7=ok        |
      | never shorten a lease               | on      | 1 renew 3 2.0=ok; 1 renew 3 1.5=ok; 1 grant 3 p 7=ok; 1.9 run p 7=ok      |
      | accept all without the fencing check | off     | 1 renew 3 2.0=ok; 1 grant 2 p 7=ok; 9 run p 6=ok; 9 run q 1=ok            |

  Scenario: Stand-in server records a lapse at the end of its lease
    Guards against records in which a frozen server owns its partitions until it resumes.
    Then the stand-in lapse of a lease until 2.0 that is detected at 9.0 is recorded at 2.0

  Scenario Outline: Stand-in server <title>
    Guards against an injected fault that has no effect on the server's clients.
    Given a stand-in server with the behaviour <behaviour>
    When stand-in work is sent <times> times with headers "<headers>"
    Then the last stand-in answer has status <status> and run header <run>
    And the last stand-in answer matches its request: <matches>, is complete: <complete>
    And the stand-in server recorded "<recorded>"

    Examples:
      | title                               | behaviour                   | times | headers                    | status | run     | matches | complete | recorded  |
      | answers with a verifiable body      | {}                          | 1     | Hyssopwood-Token: 7        | 200    | run     | yes     | yes      | run_ended |
      | refuses a wrong token               | {}                          | 1     | Hyssopwood-Token: 6        | 409    | not-run | -       | -        | refused   |
      | sheds load                          | {"shedding": true}          | 1     | Hyssopwood-Token: 7        | 503    | not-run | -       | -        | refused   |
      | drains                              | {"draining": true}          | 1     | Hyssopwood-Token: 7        | 503    | not-run | -       | -        | refused   |
      | stops at the deadline               | {"work_ms": 5000}           | 1     | Hyssopwood-Deadline-Ms: 20 | 500    | missing | -       | -        | run_ended |
      | answers late                        | {"answer_delay_ms": 2000}   | 1     | Hyssopwood-Token: 7        | none   | missing | -       | -        | run_ended |
      | cuts an answer off                  | {"cut_answers": 1}          | 1     | Hyssopwood-Token: 7        | cut    | missing | -       | -        | run_ended |
      | answers with an earlier answer's id | {"duplicate_id_answers": 1} | 2     | Hyssopwood-Token: 7        | 200    | run     | no      | yes      | run_ended |

  Scenario: Stand-in server swaps the answers of concurrent requests
    Guards against router tests that never receive the answer to another request.
    Given a stand-in server with the behaviour {"foreign_id_answers": 1}
    When two stand-in requests run at once
    Then exactly one stand-in answer belongs to the other request

  Scenario: Stand-in server records work above its slots
    Guards against overcommit that isn't recorded.
    Then three stand-in requests on two slots are recorded as one overcommit

  Scenario Outline: Stand-in work shares the slots of its server
    Guards against overcommit that adds capacity, which would hide the delay it causes.
    Then <count> pieces of stand-in work of 1 s on 2 slots are done after <seconds> s, not before

    Examples:
      | count | seconds |
      | 1     | 1.0     |
      | 2     | 1.0     |
      | 3     | 1.5     |
      | 8     | 4.0     |

  Scenario: Stand-in server stops answering on existing connections only
    Guards against a fault that affects new connections too.
    Then a silenced stand-in connection gets no answer and a new one does

  Scenario: Stand-in server cancels running work
    Guards against cancelled work that keeps its slot or is recorded as completed.
    Then cancelled stand-in work ends incomplete and frees its slot

  Scenario: Stand-in server stops work when its lease lapses
    Guards against records of work that runs on after the ownership of its partition ended.
    Then stand-in work under a lapsing lease ends incomplete at the lapse

  Scenario Outline: Stand-in answer check detects a damaged body
    Guards against answers that are accepted without verification.
    Then a stand-in body with <damage> matches its request: <matches>, is complete: <complete>

    Examples:
      | damage            | matches | complete |
      | no damage         | yes     | yes      |
      | its last byte cut | yes     | no       |
      | a byte changed    | yes     | no       |
      | another nonce     | no      | yes      |
      | no head line      | yes     | no       |
