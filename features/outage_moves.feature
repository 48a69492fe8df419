Feature: Moves of a lost server's partitions while the log is down

  Scenario Outline: The log accounts for a move made without it: <case>
    Guards against a second owner after the log is back.
    Given an outage cell whose partition is owned as "<before>"
    When coordinator c1 records the outage move of the partition from s1 to s2 made under token 10
    Then the outage partition is owned as "<after>"

    Examples:
      | case                                      | before          | after              |
      | nothing else happened                     | s1@10           | s2@10 awaiting s1  |
      | another move was planned meanwhile        | s3@20 awaiting s1 | s3@new awaiting s1,s2 |
      | the same target was planned meanwhile     | s2@20 awaiting s1 | s2@20 awaiting s1  |
      | it is recorded a second time              | s2@10 awaiting s1 | s2@10 awaiting s1  |
      | the source owned it under an older token  | s1@30           | s1@30              |
      | the source no longer has any part in it   | s3@20           | s3@20              |

  Scenario: Only the coordinator of one of the two servers may record a move
    Guards against a stale coordinator that changes owners.
    Given an outage cell whose partition is owned as "s1@10"
    When coordinator c3 records the outage move of the partition from s1 to s2 made under token 10
    Then the outage record is rejected as "not-the-coordinator"
    And the outage partition is owned as "s1@10"

  Scenario: A fence carries the moves of the fenced coordinator into the log
    Guards against a move that is forgotten with the coordinator that made it.
    Given an outage cell whose partition is owned as "s1@10"
    When c1 is fenced by c2 and c3 with the outage move from s1 to s2 made under token 10
    Then the outage partition is owned as "s2@10 awaiting s1"

  Scenario Outline: Moves need a majority of the voters: <case>
    Guards against a move that a later fence would not know.
    Given an outage cell whose partition is owned as "s1@10"
    And the log of the outage cell is down
    And these voters of the outage cell don't answer: "<silent>"
    When coordinator c1 finds server s1 lost for 1 s
    Then the outage partition is served by "<owner>" for "<seen by>"

    Examples:
      | case                     | silent | owner | seen by |
      | all voters answer        |        | s2    | c1,c2,c3 |
      | one of three is silent   | c3     | s2    | c1,c2   |
      | two of three are silent  | c2,c3  | s1    | c1,c2,c3 |

  Scenario Outline: No moves without authority or while the log answers: <case>
    Guards against two coordinators that decide about the same partition.
    Given an outage cell whose partition is owned as "s1@10"
    And the outage cell has "<condition>"
    When coordinator c1 finds server s1 lost for 1 s
    Then the outage partition is served by "s1" for "c1,c2,c3"

    Examples:
      | case                   | condition                     |
      | the log answers        | a log that answers            |
      | no authority           | no authority at c1            |
      | authority ends         | authority that ends meanwhile |
      | older voters known     | newer voters known to others  |
      | c1 may be fenced       | a fence of c1 attested        |

  Scenario: A partition that went elsewhere isn't released to a planned owner
    Guards against a grant to a planned owner while the outage move is not in the log.
    Given an outage cell whose partition is owned as "s1@10"
    And the log of the outage cell is down
    When coordinator c1 finds server s1 lost for 1 s
    Then c1 withholds the release under token 20 and allows it under token 10

  Scenario: The moves reach the log when it is back
    Guards against moves that stay outside the log.
    Given an outage cell whose partition is owned as "s1@10"
    And the log of the outage cell is down
    When coordinator c1 finds server s1 lost for 1 s
    And the log of the outage cell is back for 1 s
    Then the outage partition is owned as "s2@10 awaiting s1"
    And no instance of the outage cell keeps moves
