Feature: Statuses that the protocol doesn't have

  A failing server sent an answer with the status 000, and the caller got it. Any status outside of
  100 to 599 is a broken exchange, on every channel that reads answers.

  Scenario Outline: An answer with the status <status> is a broken exchange over each channel
    Guards against a status that is passed on to a caller, or that counts as a server's or the store's
    answer. Also guards against an append that may have been carried out and doesn't count as
    unconfirmed.
    When a server sends the status "<status>" in each form over each channel
    Then each exchange is broken, and each append is unconfirmed

    Examples:
      | status |
      | 000    |
      | 001    |
      | 020    |
      | 099    |
      | 101    |
      | 600    |
      | 700    |
      | 999    |
      | -20    |
      | +20    |
      | 20     |
      | 2      |
      | 2000   |
      | 2x0    |

  Scenario Outline: An answer with the status <status> is passed on over each channel
    Guards against a check that takes a status of the protocol for a broken exchange.
    When a server sends the status "<status>" in each form over each channel
    Then each exchange returns the status

    Examples:
      | status |
      | 200    |
      | 299    |
      | 404    |
      | 418    |
      | 499    |
      | 500    |
      | 599    |

  Scenario Outline: The interim answer <status> is skipped
    Guards against an interim answer that is taken for the final one.
    When a server sends the interim answer "<status>" before its answer over each channel
    Then each exchange returns the final answer

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |
      | 150    |
      | 199    |

  Scenario: Switching the protocol is not accepted
    Guards against an answer 101 that is skipped, although what follows it isn't HTTP.
    When a server sends the interim answer "101" before its answer over each channel
    Then each exchange is broken, and each append is unconfirmed

  Scenario Outline: A request that may not be repeated counts as possibly run after the status <status>
    Guards against a caller that gets the status, or that takes the request for one that has not run.
    Given servers "s1" of a keyless service whose first answer has the status "<status>"
    When request "r1" is sent to route "non-idempotent"
    Then the caller gets status 502
    And the servers got 1 request

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |

  Scenario Outline: A request that may be repeated is repeated after the status <status>
    Guards against a repeatable request that fails because of one answer.
    Given servers "s1,s2" of a keyless service whose first answer has the status "<status>"
    When request "r1" is sent to route "idempotent"
    Then the caller gets status 200

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |
