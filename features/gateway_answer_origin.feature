Feature: What an answer shows of the server that was addressed

  Scenario Outline: An answer without the request's id shows nothing of the server's state
    Guards against a repeated answer to an earlier request that takes a server out of use or ends
    its limit.
    Given a dispatcher with servers "s1" of a keyless service
    When requests are sent and the answers are "<answers>"
    Then server "s1" isn't leaving, has no back-off and its limit is <limit>
    And no load or back-off of server "s1" was released

    Examples:
      | answers                 | limit |
      | notices-without-id      | none  |
      | limited,shed-without-id | 5.4   |

  Scenario: The refusal of a server that has the address now isn't one of the former server
    Guards against a former server that counts as leaving, limited, loaded or as having refused a
    request, by the answer of its successor.
    Given a dispatcher with servers "s1" of a sharded service
    When requests are sent and the answers are "successor"
    Then the caller gets status 503 after 1 sends
    And server "s1" isn't leaving, has no back-off and its limit is none
    And no load or back-off of server "s1" was released
    And no service time or lost request of server "s1" was recorded
    And server "s1" is avoided

  Scenario: A request goes to the next owner when another server has its owner's address
    Guards against a failure of a request that nobody has run.
    Given a dispatcher with servers "s1,s2" of a keyless service
    When a request to route "non-idempotent" is sent and the servers answer "successor,ok"
    Then the caller gets status 200 after 2 sends
    And server "s1" is avoided

  Scenario Outline: A request that is lost at a reused address isn't lost at the former server
    Guards against quarantine of a request, or a service time, for a server that never got it: its
    successor may reset connections or stay silent when it is full.
    Given a dispatcher with servers "s1" of a sharded service
    And server "s2" of another service has registered <when> with the address of "s1"
    When requests are sent and the answers are "<answer>"
    Then a lost request of server "s1" <was> recorded
    And no load or back-off of server "s1" was released

    Examples:
      | when    | answer | was    |
      | later   | broken | wasn't |
      | later   | late   | wasn't |
      | earlier | broken | was    |
      | earlier | late   | was    |
