Feature: Records of idempotency keys, of suspects and of durations

  Scenario Outline: Keys guard against <fault>
    Given a request script for keys
    Then "begin 1 i1.1#0, <script>" holds

    Examples: begin DIGEST REQUEST
      | fault                                   | script |
      | an equal request that runs beside       | begin 1 i2.9#0, is in-progress |
      | an entry that refuses its own attempt   | begin 1 i1.1#1, is begun |
      | request ids that look alike             | begin 1 i1.11#0, is in-progress |
      | an answered request that runs again     | answer 5, begin 1 i2.9#0, is stored |
      | an answer for another request           | answer 5, begin 2 i2.9#0, is bad-request |
      | a large answer that runs again          | answer 16385, begin 1 i2.9#0, is already-run |
      | a lost answer that runs again           | answer 0, begin 1 i2.9#0, is already-run |
      | an unknown outcome that runs again      | unknown, begin 1 i2.9#0, is record-lost |
      | a repeatable request refused its retry  | unknown, begin 1 i1.1#1, is begun, begin 1 i2.9#0, is in-progress |
      | a late report that frees a running key  | begin 1 i1.1#1, not-run, begin 1 i2.9#0, is in-progress |
      | a late report that ends a running key   | begin 1 i1.1#1, unknown, begin 1 i2.9#0, is in-progress |
      | a refusal of what never ran             | not-run, begin 1 i2.9#0, is begun |
      | records that never end                  | answer 5, jump-ms 61000, begin 1 i2.9#0, is begun |
      | a running request that is forgotten     | jump-ms 61000, begin 1 i2.9#0, is record-lost |
      | a takeover that reruns what ran         | copy, begin 1 i2.9#0, is record-lost |
      | a takeover that loses answers           | answer 5, copy, begin 1 i2.9#0, is stored |
      | a late copy that undoes an answer       | late-copy 5, begin 1 i2.9#0, is stored |
      | a takeover without copies               | lose, begin 1 i2.9#0, is record-lost |
      | distrust that never ends                | lose, jump-ms 61000, begin 1 i2.9#0, is begun |
      | records without bound                   | fill, bounded 100 1000000, begin 1 i2.9#0, is in-progress, begin-key z, is queue-full |

  Scenario Outline: Suspects guard against <fault>
    Given a request script for suspects
    Then "<script>" holds

    Examples: each group of digests ran on one server that crashed
      | fault                                  | script |
      | a quarantine after one crash           | crash 7, guilty none |
      | a request that crashes alone           | crash 7 7, guilty 7 |
      | a request that crashes beside others   | crash 7+1 7+2, guilty 7 |
      | innocents among many                   | crash 7+1+2 7+3+4, guilty none, crash 7+5+6, guilty 7 |
      | innocents that succeed later           | crash 7+1 7+1, call suspects.record_success s1 1, guilty 7 |
      | the guilty cleared by one success      | crash 7 7, call suspects.record_success s1 7, guilty 7 |
      | a quarantine without end               | crash 7 7, jump-ms 61000, guilty none |
      | a request repeated through other peers | report 7 7+1, guilty 7, clear 1, expect suspects 1 |
      | memory that grows with suspects        | others 150, crash 7 7, guilty 7, expect suspects 100 |

  Scenario Outline: Durations guard against <fault>
    90 requests took 10 ms and 10 took 2000 ms.
    Given a request script for durations
    Then "<script>" holds

    Examples:
      | fault                              | script |
      | predictions without the tail       | mean 190 225, high 1900 2400, named short |
      | a class that is only declared      | record 40 1000, mean 400 500, named long |
      | predictions from stale values      | jump-ms 900000, record 40 10, mean 9 12, high 9 13, named short |
      | stragglers expected to end at once | left-after 100 1800 2400 |
      | memory that grows with names       | names 500, expect durations 40 |
