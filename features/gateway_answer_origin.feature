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
