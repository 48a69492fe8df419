Feature: Whether an instance itself has lost its links to the servers

  Scenario Outline: An instance that reaches no server any more knows it soon, and when that is over
    Guards against an instance that takes the loss of its own links for the failure of every server.
    Given an instance with <servers> servers that it sends requests
    When its connections to all servers <fail> from second 2 to second 8
    Then it counts as cut off at most <known> s after that, and not before
    And it counts as connected at most 0.9 s after second 8

    Examples:
      | servers | fail                              | known |
      | 29      | hang                              | 1.2   |
      | 29      | are reset                         | 1.0   |
      | 29      | live on while new ones are refused | 1.0   |
      | 3       | hang                              | 1.2   |
      | 2       | are reset                         | 1.0   |

  Scenario: An instance that reaches the servers of one service is cut off from another one
    Guards against requests that fail because servers of another service are still reached.
    Given an instance with 23 servers that it sends requests
    And 6 servers of another service that it sends requests
    When its connections to 23 servers hang from second 2 to second 8
    Then it counts as cut off at most 1.2 s after that, and not before
    And it counts as connected at most 0.9 s after second 8

  Scenario Outline: Failures of servers are not taken for the loss of an instance's own links
    Guards against a healthy instance that stops using its own links.
    Given an instance with <servers> servers that it sends requests
    When its connections to <failing> servers <fail> from second 2 to second 8
    Then it never counts as cut off

    Examples:
      | servers | failing | fail      |
      | 29      | 1       | hang      |
      | 29      | 6       | hang      |
      | 29      | 20      | are reset |
      | 2       | 1       | are reset |
      | 1       | 1       | hang      |

  Scenario: Crashes of servers cause few probes
    Guards against connections to servers that only probes use.
    Given an instance with 29 servers that it sends requests
    When its connections to 20 servers are reset from second 2 to second 8
    Then it has probed at most 80 times
