Feature: Answers to key commands, which have no id

  Scenario Outline: A repeated answer to a request never counts for a command on its connection
    Guards against a grant or release that counts as answered by the answer to an earlier request.
    Given servers "s1" of a keyless service that repeat "503 Service Unavailable" <copy> <moment>
    When request "r1" is sent to route "non-idempotent"
    And a command without an id is sent to server "s1"
    Then the command is answered with status 200

    Examples:
      | copy          | moment                  |
      | with its id   | in the same packet      |
      | with its id   | half in the same packet |
      | with its id   | before the next request |
      | with its id   | before the answer       |
      | with its id   | with the answer         |
      | with its id   | in pieces               |
      | with its id   | after an interim answer |
      | without an id | in the same packet      |
      | without an id | half in the same packet |
      | without an id | before the next request |

  Scenario Outline: Only the answer to a command shows that it was carried out
    Guards against keys that count as granted or released by an answer to a request, by one to another
    command, or by one of another server.
    Given a server "s1" that answers commands with status <status> and the headers "<headers>"
    When it gets a <command>
    Then the command counts as <result>

    Examples:
      | command | status | headers                                 | result                   |
      | grant   | 200    |                                         | done                     |
      | grant   | 200    | Handover: h                             | not done                 |
      | grant   | 200    | Response-Signature: s                   | not done                 |
      | grant   | 200    | Request-Id: r1                          | not done                 |
      | grant   | 409    |                                         | not done and fenced      |
      | grant   | 421    | Instance-Id: s2                         | not done, s2 answered    |
      | grant   | 421    | Instance-Id: s1                         | not done                 |
      | grant   | 421    |                                         | not done                 |
      | release | 200    | Handover: h                             | done                     |
      | release | 200    |                                         | not done                 |
      | release | 200    | Handover: h, Response-Signature: s      | not done                 |
      | release | 200    | Handover: h, Request-Id: r1             | not done                 |
      | release | 421    | Instance-Id: s2                         | not done, s2 answered    |
      | release | 421    | Instance-Id: s2, Server-Leaving: 1      | not done, s2 answered    |
      | release | 503    | Not-Executed: 1                         | not done                 |

  Scenario Outline: Only the server at an address shows that another one has ended
    Guards against keys that are granted to the next server as an answer to a request, or none, counts
    for the end of their owner.
    Given a server "s1" that answers commands with status <status> and the headers "<headers>"
    When it is asked for its id
    Then the id in the answer is "<id>"

    Examples:
      | status | headers                                 | id |
      | 421    | Instance-Id: s2                         | s2 |
      | 503    | Instance-Id: s2                         | s2 |
      | 200    | Instance-Id: s1                         | s1 |
      | 421    |                                         |    |
      | 421    | Instance-Id: s2, Request-Id: r1         |    |
      | 200    | Instance-Id: s2, Response-Signature: s  |    |

  Scenario Outline: A server that can't be asked for its id shows nothing
    Guards against keys that are granted to the next server as their owner can't be reached.
    Given a server "s1" whose connections <fail>
    When it is asked for its id
    Then the id in the answer is ""

    Examples:
      | fail                |
      | are refused         |
      | break               |
      | give no answer      |
