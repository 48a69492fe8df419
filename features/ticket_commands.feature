Feature: Operators' commands

  Background:
    Given a ticket platform on which ticket 1 was published

  Scenario Outline: <command> with <file> exits with <code>
    Guards against invalid input that reaches the log, and against exit codes from which a script
    can't determine what failed.
    Given the ticket file <file>
    When the ticket command "<command>" is run
    Then the ticket command exits with <code> and prints "<text>"
    And the ticket platform still holds 1 record

    Examples:
      | file                                                            | command                    | code | text                               |
      | {"number": 2, "limits": {"portal": {"queue": 3}}}               | check FILE                 | 0    | well formed                        |
      | {"number": 2, "limits": {"portal": {"queue": 3}}} // comment    | check FILE --log-url URL   | 0    | would come into force              |
      | {"number": 4}                                                   | check FILE --log-url URL   | 4    | the next number is 2               |
      | {"number": 4}                                                   | ticket publish FILE --log-url URL | 4 | the next number is 2            |
      | {"number": 1}                                                   | ticket publish FILE --log-url URL | 4 | ticket 1 by ana at offset 0     |
      | {"number": 2, "limits": {"portal": {"queue": -3}}, "x": 1}      | check FILE                 | 3    | $.limits['portal'].queue: got -3   |
      | {"number": 2, "limits": {"portal": {"queue": -3}}, "x": 1}      | check FILE                 | 3    | $.x: got an unknown key            |
      | {"number": 2, "limits": {"portal": {"queue": -3}}, "x": 1}      | ticket publish FILE --log-url URL | 3 | $.x: got an unknown key         |
      | {"number": 2, "servers": {"x": null}}                           | ticket publish FILE --log-url URL --json | 4 | unknown-server           |
      | not JSON                                                        | ticket publish FILE --log-url URL | 3 | JSON with comments              |
      | 10 MB                                                           | ticket publish FILE --log-url URL | 3 | bytes, expected at most         |
      | 10 MB                                                           | check FILE                 | 3    | bytes, expected at most            |
      | 1 MB of pins                                                    | check FILE                 | 3    | bytes, expected at most            |
      | latin-1                                                         | check FILE                 | 3    | UTF-8                              |
      | no file                                                         | check FILE                 | 3    | a readable file                    |
      | {"instance": "i 1", "log_level": 3}                             | check FILE                 | 3    | $.instance: got 'i 1'              |
      | {"instance": "i 1", "log_level": 3}                             | check FILE                 | 3    | $.log_level: got 3                 |
      | settings                                                        | check FILE                 | 0    | valid settings                     |
      | {"instance": "i1"}                                              | entry --settings FILE      | 3    | $.log_url: got nothing             |
      | {"number": 2}                                                   | ticket publish FILE        | 2    |                                    |
      | {"number": 2}                                                   | check FILE --log-url ftp   | 2    | not an http                        |
      | {"number": 2}                                                   | unknown                    | 2    |                                    |
      | {"number": 2}                                                   | ticket publish FILE --log-url http://127.0.0.1:1 | 5 | can't be reached |

  Scenario Outline: "<command>" shows what is in force
    Guards against commands that derive another state from the log than the instances do.
    When the ticket command "<command>" is run
    Then the ticket command exits with <code> and prints "<text>"

    Examples:
      | command                                              | code | text                   |
      | ticket show --log-url URL                            | 0    | in force               |
      | ticket show 1 --log-url URL --json                   | 0    | beridze                |
      | ticket show 9 --log-url URL                          | 8    | no verdict on ticket 9 |
      | in-force --log-url URL                               | 0    | ticket 1 in force      |
      | in-force --log-url URL --json                        | 0    | "ticket_number": 1     |
      | in-force --log-url URL --stream empty                | 0    | ticket 0 in force      |
      | owners --log-url URL                                 | 0    | PARTITION              |
      | owners wolf --service portal --log-url URL --json    | 0    | "partition": "portal/1" |
      | owners --service nowhere --log-url URL               | 8    | 'nowhere'              |
      | instances --log-url URL                              | 0    | INCARNATION            |
      | audit --log-url URL --subject portal                 | 0    | service portal         |
      | audit --log-url URL --since 1 --json                 | 0    | []                     |
      | status --instance-url URL                            | 6    | 404                    |
      | status --instance-url http://127.0.0.1:1             | 6    | can't be reached       |

  Scenario: A ticket is published once although the log's response is lost
    Guards against a command that reports a failure for a ticket in force, or publishes it twice.
    Given the ticket file {"number": 2, "limits": {"portal": {"queue": 3}}}
    And the ticket platform loses 1 response
    When the ticket command "ticket publish FILE --log-url URL" is run
    Then the ticket command exits with 0 and prints "ticket 2 is in force"
    When the ticket command "ticket publish FILE --log-url URL" is run
    Then the ticket command exits with 4 and prints "has the same content"

  Scenario: A publisher whose ticket comes second gets the name of the first publisher
    Guards against success reported for a ticket that lost the race for its number.
    Given the ticket file {"number": 2, "limits": {"portal": {"queue": 3}}}
    And "nino" publishes another ticket 2 after the ticket command has validated its own
    When the ticket command "ticket publish FILE --log-url URL" is run
    Then the ticket command exits with 4 and prints "ticket 2 by nino at offset 1 came first"

  Scenario: Publishing fails while the log is down
    Guards against a command that reports success without having appended to the log.
    Given the ticket file {"number": 2, "limits": {"portal": {"queue": 3}}}
    And the ticket platform has an outage
    When the ticket command "ticket publish FILE --log-url URL" is run
    Then the ticket command exits with 5 and prints "503"
    And the ticket platform still holds 1 record

  Scenario: Commands start from the newest checkpoint
    Guards against commands that fail once the first records have expired.
    Given the ticket platform keeps only a checkpoint
    When the ticket command "in-force --log-url URL" is run
    Then the ticket command exits with 0 and prints "ticket 1 in force"
