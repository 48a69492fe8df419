Feature: Adapter to the users' platform

  Scenario: Settings of the platform become checked settings
    Guards against platform names outside the adapter and against failures at unknown fields.
    When the platform's settings are read with the line "new.field=7"
    Then the gateway settings have instance "edge-a-1", caller address "10.1.0.10:8161" and a shutdown time of 6 s

  Scenario Outline: The machine's limits become its capacity for shared work
    Guards against a leader on a slow machine or with a slow link.
    When the platform's settings are read with the line "<line>"
    Then the gateway settings have capacity <capacity>

    Examples:
      | line                                                      | capacity |
      | new.field=7                                               | 1000     |
      | limits.cpu_share=0.86                                     | 860      |
      | limits.cpu_share=0.5\nlimits.cpu_cores=2.5                | 1250     |
      | limits.cpu_share=0.86\nlimits.link_mbps=5.0               | 250      |
      | limits.cpu_share=0.86\nlimits.link_mbps=1000.0            | 860      |

  Scenario Outline: The machine's memory and descriptors become bounds on callers
    Guards against bounds that apply where the settings state none, or that are lost.
    When the platform's settings are read with the line "<line>"
    Then the gateway settings have <memory> MB and <descriptors> descriptors

    Examples:
      | line                                          | memory | descriptors |
      | limits.memory_mb=152                          | 152    | 4100        |
      | limits.memory_mb=552.5\nlimits.max_fds=1535   | 552.5  | 1535        |
      | new.field=7                                   | None   | 4100        |

  Scenario Outline: The settings state whether the whole system starts for the first time
    Guards against a process that takes a restored store for a new one.
    When the platform's settings are read with the line "<line>"
    Then the gateway settings have a first start: <first>

    Examples:
      | line            | first |
      | bootstrap=true  | True  |
      | bootstrap=false | False |
      | bootstrap=      | False |

  Scenario Outline: Invalid settings raise one error with all faults
    Guards against a process that starts with incomplete settings.
    When the platform's settings are read with the line "<line>"
    Then reading the platform's settings fails and names "<field>"

    Examples:
      | line                      | field               |
      | bounds.grace_s=soon       | bounds.grace_s      |
      | listen.front=             | listen.front        |
      | internal_port_range=7000  | internal_port_range |
      | platform.address=         | platform.address    |
      | limits.cpu_share=much     | limits.cpu_share    |
      | limits.link_mbps=0        | $                   |
      | limits.memory_mb=all      | limits.memory_mb    |
      | bootstrap=perhaps         | bootstrap           |
      | limits.memory_mb=nan      | $                   |
      | limits.memory_mb=-1       | $                   |
      | limits.max_fds=200        | $                   |
      | limits.max_fds=nan        | $                   |
      | limits.max_fds=inf        | $                   |

  Scenario: A configuration becomes a route table
    Guards against routes that lose their split, attempts, timeouts or kind when decoded.
    When the platform's configuration is decoded
    Then host "shop.example" routes "/pigs/list/2f" by prefix "/pigs/list/" to "portal:90,desk:10"
    And that route is idempotent, has 2 attempts, 1.2 s and priority 2
    And host "shop.example" routes "/pigs/x" by prefix "/pigs/" to "portal:1"
    And that route is not idempotent
    And host "shop.example" routes "/photos/x" by prefix "/photos/" to "desk:1"
    And that route is idempotent, has 2 attempts, 1.5 s and priority 1
    And host "shop.example" has no route for "/cats/"
    And host "other.example" has no route for "/pigs/list/2f"
    And service "portal" is sharded and "desk" is not

  Scenario Outline: A malformed configuration raises a typed error
    Guards against a task that fails at a malformed document.
    When the platform's configuration is decoded with "<change>"
    Then decoding fails with an input error

    Examples:
      | change          |
      | not JSON        |
      | no listeners    |
      | no timeout      |
      | a list          |
      | text as version |

  Scenario Outline: Malformed entries register no server
    Guards against requests to an address that no server registered.
    When the server entry is decoded with "<field>" as <value>
    Then decoding fails with an input error

    Examples:
      | field           | value         |
      | state           | "lost"        |
      | state           | null          |
      | service         | 7             |
      | address         | "10.0.0.1"    |
      | address         | "10.0.0.1:0"  |
      | max_concurrency | 0             |
      | max_concurrency | true          |
      | born            | 1.5           |
      | born            | null          |
      | sequence        | "4"           |
      | warmup_left_s   | "no"          |
      | zone            | []            |

  Scenario Outline: Invalid headers of callers are refused
    Guards against a request that a server mistakes for another one.
    When a caller sends the headers "<headers>"
    Then reading the caller's headers fails

    Examples:
      | headers                                         |
      | Deadline-Ms: 100                                |
      | Request-Id: a; Request-Id: b                    |
      | Request-Id: a; Deadline-Ms: soon                |
      | Request-Id: a; Shard-Key: 65536                 |
      | Request-Id: a; Shard-Key: -1                    |
      | Request-Id: a; Shard-Key: 1; Shard-Key: 2       |

  Scenario: Headers to a server are those of the caller and the gateway's own
    Guards against hop-by-hop headers that are forwarded, and against a deadline that is extended.
    When a caller sends the headers "Request-Id: a; Deadline-Ms: 500; Shard-Key: 9; X-Other: o; Connection: keep-alive, X-Hop; X-Hop: h; Transfer-Encoding: chunked"
    Then server "s1" with 0.25 s left gets "x-other: o; Request-Id: a; Deadline-Ms: 250; Target-Instance: s1; Shard-Key: 9"

  Scenario: The platform's names stay in the adapter
    Guards against code outside the adapter that depends on the platform's names.
    Then no module outside the adapter contains a name of the platform
    And the adapter imports only types from the gateway and the keyspace
