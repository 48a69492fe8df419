Feature: Requests that crash the servers that run them

  Scenario: A request that has crashed three servers is refused by every instance
    Guards against a request whose repeats take down one server after the other.
    Given instances "i1,i2,i3" that report to a leader
    When request "poison" is lost at server "s1" by instance "i1", and the server ends
    And request "poison" is lost at server "s2" by instance "i2", and the server ends
    Then no instance refuses request "poison"
    When request "poison" is lost at server "s3" by instance "i1", and the server ends
    Then every instance refuses request "poison"
    And no instance refuses request "other"

  Scenario: Servers that live on don't count
    Guards against requests that are refused because connections were reset.
    Given instances "i1,i2" that report to a leader
    When request "unlucky" is lost at servers "s1,s2,s3,s4" by instance "i1"
    Then no instance refuses request "unlucky"

  Scenario: One server that ends counts once
    Guards against a request that many callers send and that was at work at one crash.
    Given instances "i1,i2" that report to a leader
    When request "popular" is lost at server "s1" by instance "i1", and the server ends
    And request "popular" is lost at server "s1" by instance "i2", and the server ends
    And request "popular" is lost at server "s1" by instance "i2", and the server ends
    Then no instance refuses request "popular"

  Scenario: A success clears a request
    Guards against a popular request that was beside the guilty one three times.
    Given instances "i1,i2" that report to a leader
    When request "popular" is lost at server "s1" by instance "i1", and the server ends
    And request "popular" is lost at server "s2" by instance "i1", and the server ends
    And request "popular" succeeds at instance "i2"
    And request "popular" is lost at server "s3" by instance "i1", and the server ends
    Then no instance refuses request "popular"

  Scenario: A new leader learns what the instances saw
    Guards against a count that a change of the leader starts anew.
    Given instances "i1,i2" that report to a leader
    When request "poison" is lost at server "s1" by instance "i1", and the server ends
    And request "poison" is lost at server "s2" by instance "i2", and the server ends
    And another leader takes over
    And request "poison" is lost at server "s3" by instance "i1", and the server ends
    Then every instance refuses request "poison"

  Scenario: A quarantine ends
    Guards against a request that is refused for ever after its cause was repaired.
    Given instances "i1" that report to a leader
    When request "poison" is lost at server "s1" by instance "i1", and the server ends
    And request "poison" is lost at server "s2" by instance "i1", and the server ends
    And request "poison" is lost at server "s3" by instance "i1", and the server ends
    Then every instance refuses request "poison"
    When 121 s pass
    Then no instance refuses request "poison"

  Scenario: What is kept is bounded
    Guards against memory that losses without end fill.
    Given instances "i1" that report to a leader
    When 20000 different requests are lost at server "s1" by instance "i1"
    Then the instance keeps at most 512 of them and the leader 8192

  Scenario Outline: A quarantined request is answered at once and not sent
    Guards against a repeat within one attempt, and against "may have run" where it did not.
    Given a dispatcher with servers "s1,s2" of a free service
    And the leader has quarantined the request
    When a <route> request is sent and the servers answer "ok"
    Then the caller gets status 503 after 0 sends
    And the answer says when to come back

    Examples:
      | route      |
      | repeatable |
      | once       |
