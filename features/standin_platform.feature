Feature: Stand-in platform follows the log protocol and injects faults on command

  Scenario Outline: Stand-in platform <title>
    Guards against a stand-in whose protocol or faults differ from the documented ones.
    Then the stand-in platform answers each line of "<lines>"

    Examples: log
      | title                                   | lines                                                                 |
      | returns offsets in order                | append a -> 201 {"offset": 0}; append b -> 201 {"offset": 1}                |
      | reads from an offset                    | append a -> 201; append b -> 201; read 1 -> 200 "next": 2, "records": [{"offset": 1 |
      | limits the records of a read            | append a -> 201; append b -> 201; read 0&limit=1 -> 200 "next": 1              |
      | answers a read past the end             | append a -> 201; read 5 -> 200 "next": 1, "records": []                     |
      | expires records above its retention     | control retention 1 -> 200; append a -> 201; append b -> 201; read 0 -> 410 {"first": 1} |
      | refuses large records                   | append-large 1048577 -> 413                                              |
      | stores the largest record               | append-large 1048576 -> 201                                              |
      | refuses bytes that are not UTF-8        | append-bytes ff -> 400                                                   |

    Examples: faults
      | title                                   | lines                                                                 |
      | refuses appends in an outage            | control outage true -> 200; append a -> 503; control outage false -> 200; append a -> 201 {"offset": 0} |
      | refuses reads in an outage              | control outage true -> 200; read 0 -> 503                                   |
      | ends a long poll when an outage begins  | poll-outage 0 -> 503                                                     |
      | delays answers                          | control slow_ms 2000 -> 200; append a -> none; control slow_ms 0 -> 200; append b -> 201 |
      | loses the answer of a stored append     | control lose_answers 1 -> 200; append a -> none; read 0 -> 200 "data": "a"; append b -> 201 {"offset": 1} |
      | drops connections                       | control drop_connections true -> 200; read 0 -> none; control drop_connections false -> 200; read 0 -> 200 |
      | refuses an unknown fault                | control no_such_fault 1 -> 400                                           |
      | refuses a fault of another type         | control outage 1 -> 400                                                  |

    Examples: append rate
      | title                                   | lines                                                                 |
      | limits the append rate                  | control append_rate 20 -> 200; append a -> 201; append b -> 201; append c -> 429   |
      | allows appends again as time passes     | control append_rate 20 -> 200; append a -> 201; append b -> 201; wait 0.06; append c -> 201; append d -> 429 |

    Examples: instance list
      | title                                   | lines                                                                 |
      | lists an instance after the lag         | put i1 live -> 200; list -> 200 "instances": []; wait 1.1; list -> 200 {"name": "i1", "state": "live"} |
      | shows a removal after the lag           | put i1 live -> 200; wait 1.1; delete i1 -> 200; list -> 200 "i1"; wait 1.1; list -> 200 "instances": [] |
      | lags by the configured time             | control list_lag_ms 5000 -> 200; put i1 live -> 200; wait 4; list -> 200 "instances": []; wait 1.1; list -> 200 "i1" |
      | refuses an unknown state                | put i1 asleep -> 400                                                     |

  Scenario: Stand-in balancer lists the instances that are ready
    Guards against traffic to instances that are not ready.
    Then the stand-in balancer lists only the ready instance
