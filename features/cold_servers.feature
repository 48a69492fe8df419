Feature: Servers that are cold and tolerate few requests

  Scenario Outline: All instances together send a cold server no more than it tolerates
    Guards against a server that crashes because each instance sends it a share of the load as if it
    were warm (16 requests in a second where 15.95 are allowed, six times on one day).
    Given a platform whose <kind> servers tolerate 5.3 requests a second while they are cold
    When server "s1" becomes cold for 6 s under 15 requests a second by each of 3 instances
    Then from 2 s on it got at most 8 requests in any second while it was cold
    And it got at least 10 of them
    And what it didn't run was refused with a Retry-After

    Examples:
      | kind      |
      | sharded   |
      | unsharded |
