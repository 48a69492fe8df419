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
