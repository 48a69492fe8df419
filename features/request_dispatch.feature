Feature: Path of one request from its route to its outcome

  Scenario Outline: Attempts guard against <fault>
    Given a request script for dispatch
    Then "attempts <ends>, handle <kind>, ends <outcome>, expect attempts_sent <sent>, returned <returned>" holds

    Examples:
      | fault                                   | ends                       | kind       | outcome                 | sent | returned         |
      | lost answers                            | answered                   | single     | answered                | 1    | answered         |
      | a second run of non-repeatable work     | unknown:connection-lost    | single     | unknown connection-lost | 1    | unknown          |
      | repeatable work that is given up        | unknown:connection-lost    | repeatable | answered                | 2    | unknown answered |
      | retries at a server that sheds          | not-run:server-refused     | repeatable | not-run server-refused  | 1    | not-run 503      |
      | refusals while a server is replaced     | not-run:server-unreachable | single     | answered                | 2    | not-run answered |
      | refusals while a key moves              | not-run:moved              | single     | answered                | 2    | not-run answered |
      | refused repeats that hide a run         | unknown:connection-lost not-run:server-refused | repeatable | unknown connection-lost | 2    | unknown not-run 503 |
      | incomplete answers that look whole      | cut                        | single     | cut                     | 1    | unknown          |

  Scenario Outline: A reply of <reply> has one outcome
    Guards against refusals that hide that a request may have run, and stored answers run again.
    Given a request script for dispatch
    Then "reply <reply>, handle single, ends <outcome>, expect attempts_sent <sent>" holds

    Examples:
      | reply               | outcome                     | sent |
      | would-miss-deadline | not-run would-miss-deadline | 0    |
      | poison              | not-run poison              | 0    |
      | in-progress         | unknown in-progress         | 0    |
      | already-run         | unknown already-run         | 0    |
      | record-lost         | unknown record-lost         | 0    |
      | stored              | answered                    | 0    |
      | nonsense            | answered                    | 1    |
      | unreachable         | answered                    | 1    |

  Scenario Outline: The dispatcher guards against <fault>
    Given a request script for dispatch
    Then "<script>" holds

    Examples:
      | fault                                | script |
      | coordinators that never reply        | delay-ms 9000, handle single, ends not-run deadline-exceeded, expect attempts_sent 0, withdrawn |
      | silent coordinators that are replaced | delay-ms 1900, start, call router.move_to s2, ends answered, went s2 |
      | waits for a timer after a move       | attempts not-run:moved, set next_owner s2, handle-at-once, ends answered, went s1 s2 |
      | callers held while nobody owns a key | no-owner, handle single, ends not-run no-owner, took 1.5 |
      | retry storms at a lost server        | set always not-run:server-unreachable, handle-together 100, sent-at-most 120 |
      | retries that double a failing load   | set always unknown:connection-lost, handle-in-turn 100, sent-at-most 120 |
      | queue places of callers gone         | delay-ms 9000, start, leave, withdrawn |
      | permits of callers gone              | start-reading, leave-answer, returned unknown |
      | replays that are incomplete          | set body_size 16384, handle keyed, kept 16384 |
      | replays that differ when empty       | set body_size 0, handle keyed, kept 0 |
      | stored answers without bound         | set body_size 16385, handle keyed, kept none |
      | permits counted from their reply     | delay-ms 150, handle single, first-byte-within 50 |
