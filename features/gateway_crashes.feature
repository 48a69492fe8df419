Feature: Requests that crash the servers that run them

  Scenario: A request that has crashed three servers is refused by every instance
    Guards against a request whose retries crash one server after the other.
    Given instances "i1,i2,i3" that report to a leader
    When request "poison" is lost at server "s1" by instance "i1", and the server ends
    And request "poison" is lost at server "s2" by instance "i2", and the server ends
    Then no instance refuses request "poison"
    When request "poison" is lost at server "s3" by instance "i1", and the server ends
    Then every instance refuses request "poison"
    And no instance refuses request "other"

  Scenario: Lost connections to servers that keep running don't count
    Guards against requests that are refused because connections were reset.
    Given instances "i1,i2" that report to a leader
    When request "unlucky" is lost at servers "s1,s2,s3,s4" by instance "i1"
    Then no instance refuses request "unlucky"

  Scenario: A server that ends counts once per request
    Guards against quarantine of a popular request of which many copies ran at a single crash.
    Given instances "i1,i2" that report to a leader
    When request "popular" is lost at server "s1" by instance "i1", and the server ends
    And request "popular" is lost at server "s1" by instance "i2", and the server ends
    And request "popular" is lost at server "s1" by instance "i2", and the server ends
    Then no instance refuses request "popular"

  Scenario: A success clears a request
    Guards against quarantine of a popular request that ran beside the crashing one three times.
    Given instances "i1,i2" that report to a leader
    When request "popular" is lost at server "s1" by instance "i1", and the server ends
    And request "popular" is lost at server "s2" by instance "i1", and the server ends
    And request "popular" succeeds at instance "i2"
    And request "popular" is lost at server "s3" by instance "i1", and the server ends
    Then no instance refuses request "popular"

  Scenario: A new leader receives the losses that the instances recorded
    Guards against a count that restarts at zero when the leader changes.
    Given instances "i1,i2" that report to a leader
    When request "poison" is lost at server "s1" by instance "i1", and the server ends
    And request "poison" is lost at server "s2" by instance "i2", and the server ends
    And another leader takes over
    And request "poison" is lost at server "s3" by instance "i1", and the server ends
    Then every instance refuses request "poison"

  Scenario: A quarantine expires
    Guards against a request that is refused forever after the fault was repaired.
    Given instances "i1" that report to a leader
    When request "poison" is lost at server "s1" by instance "i1", and the server ends
    And request "poison" is lost at server "s2" by instance "i1", and the server ends
    And request "poison" is lost at server "s3" by instance "i1", and the server ends
    Then every instance refuses request "poison"
    When 121 s pass
    Then no instance refuses request "poison"

  Scenario: The number of recorded losses is bounded
    Guards against memory that grows with every lost request.
    Given instances "i1" that report to a leader
    When 20000 different requests are lost at server "s1" by instance "i1"
    Then the instance keeps at most 512 of them and the leader 8192

  Scenario Outline: A quarantined request is refused at once and not sent
    Guards against a quarantined request that is sent once more, and against "may have been
    executed" for one that was not sent.
    Given a dispatcher with servers "s1,s2" of a keyless service
    And the leader has quarantined the request
    When a request to route "<route>" is sent and the servers answer "ok"
    Then the caller gets status 503 after 0 sends
    And the answer has a Retry-After header

    Examples:
      | route          |
      | idempotent     |
      | non-idempotent |
