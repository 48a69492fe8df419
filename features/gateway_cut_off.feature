Feature: Instances that lose their links to all servers

  Scenario Outline: Callers of cut off instances are served like those of the others
    Guards against instances that take the loss of their own links for the failure of every server
    (incident inc1 of 2026-12-05, RECOVER).
    Given a platform with 6 servers and 6 instances in 2 failure domains, whose links can be cut
    When the links of <cut> to all servers <fail> for 7 s while callers use all instances
    Then from 3 s after the cut on 49 of 50 first tries are served at the cut off instances
    And from 3 s after the cut on 49 of 50 first tries are served at the other instances
    And no request ran twice, and none that was refused ran

    Examples:
      | cut                                  | fail                               |
      | the leader                           | hang                               |
      | the leader                           | are reset                          |
      | the leader                           | live on while new ones are refused |
      | another instance                     | hang                               |
      | another instance                     | are reset                          |
      | another instance                     | live on while new ones are refused |
      | a third with the leader              | hang                               |
      | the leader's failure domain          | hang                               |
      | the leader's failure domain          | are reset                          |
      | the leader's failure domain          | live on while new ones are refused |
      | the other failure domain             | are reset                          |
      | all but two                          | hang                               |

  Scenario Outline: With all instances cut off, requests are refused at once and served again soon
    Guards against instances that all take themselves out, and against requests that wait for a
    server until their deadline although none can be reached.
    Given a platform with 6 servers and 6 instances in 2 failure domains, whose links can be cut
    When the links of all to all servers <fail> for 5 s while callers use all instances
    Then from 3 s after the cut on every request is refused within 0.7 s with a time to retry
    And from 3 s after the end of the cut on every request is served
    And no request ran twice, and none that was refused ran

    Examples:
      | fail      |
      | hang      |
      | are reset |

  Scenario Outline: An instance that lost its link to a single server serves that server's keys
    Guards against callers of one instance that are refused although the owner of their keys runs.
    Given a platform with 6 servers and 6 instances in 2 failure domains, whose links can be cut
    When one instance can't open connections to one server for 7 s, as they <fail>
    Then from 1 s after the cut on 49 of 50 first tries are served at the cut off instances
    And from 1 s after the cut on 49 of 50 first tries are served at the other instances
    And no request ran twice, and none that was refused ran

    Examples:
      | fail      |
      | hang      |
      | are reset |
