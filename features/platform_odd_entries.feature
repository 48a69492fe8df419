Feature: Odd entries of other writers among those of the servers

  Scenario Outline: An odd entry names no server and raises a typed error only
    Guards against processes that end, or stop following the list, at one writer's entry.
    When an entry that is <odd> is decoded
    Then decoding fails with an input error of at most 1000 characters

    Examples:
      | odd                                     |
      | a list nested 100000 deep               |
      | an object nested 100000 deep            |
      | sound beside a value nested 100000 deep |
      | a service nested 900 deep               |
      | cut off                                 |
      | no text                                 |
      | a number                                |
      | with max_concurrency 10**12             |
      | with max_concurrency 10**400            |
      | with max_concurrency 1e400              |
      | with max_concurrency -1                 |
      | with sequence 2**70                     |
      | with sequence -1                        |
      | with sequence of 5000 digits            |
      | with born 2**70                         |
      | with born -1                            |
      | with warmup_left_s 1e400                |
      | with warmup_left_s 10**400              |
      | with warmup_left_s NaN                  |
      | with warmup_left_s -1                   |
      | with port 65536                         |
      | with port 99999999999                   |
      | with port 0                             |
      | with port -1                            |
      | with port +80                           |
      | with port 8_0                           |
      | with a port in other digits             |
      | with a host name as address             |
      | with address 10.0.0.999:80              |
      | with a list as state                    |
      | with half a character as service        |
      | with half a character as zone           |
      | with a service of 100000 characters     |
      | sound under an id with a line break     |
      | sound under an empty id                 |
      | sound under an id with half a character |

  Scenario: Instances follow the servers' list beside odd entries
    Guards against instances that end, stop following the list or lose the leader's link (further
    report of the incident of 2026-12-05).
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When every odd entry is written to the servers' list, and again
    And a server "s4" registers and server "s1" drains
    Then within 3 s both instances know "s2,s3,s4" as ready and nothing else but "s1"
    And 40 requests are answered, none by "s1"
    And no task of the instances failed and no link between them was lost

  Scenario: Entries of a service that no configuration names change nothing
    Guards against keys that are granted to a second server, and against a server that is never used
    again, as another writer's entry has its address or its id.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When entries of a service that no configuration names are written at the address of "s2" and under its id
    Then both instances know "s1,s2,s3" and nothing else for 3 s
    And 40 requests are answered, none by "another server"
    And no task of the instances failed and no link between them was lost

  Scenario Outline: Odd documents of other kinds raise typed errors only
    Guards against tasks that fail at the configuration, the plan or an answer of the store.
    When <document> with <odd> is decoded
    Then decoding fails with a typed error

    Examples:
      | document              | odd                         |
      | the configuration     | a value nested 100000 deep  |
      | the configuration     | a version of 2**70          |
      | the configuration     | a timeout of 1e400          |
      | the plan              | a value nested 100000 deep  |
      | the plan              | a fence of 2**70            |
      | the plan              | a fence of 1e400            |
      | the leader            | a value nested 100000 deep  |
      | the leader            | a claim of 1e400            |
      | an answer of the store | a value nested 100000 deep |
      | an answer of the store | no end offset              |
      | an answer of the store | an item that is a number   |
      | an answer of the store | a value that isn't base64  |

  Scenario: A server's load that is no number of requests is ignored
    Guards against requests that fail at a header of the answer.
    When an answer states a load of 5000 digits
    Then the answer counts as one without a load
