Feature: Planner

  Scenario: A new cell gets voters, coordinators and owners
    Guards against a cell that never starts, or starts with voters in one failure domain only.
    Given a planner cell of 9 instances in 3 failure domains with 20 servers
    When the planner cell runs for 8 s
    Then the planner cell has 9 voters with at most 3 in each failure domain
    And every change of planner voters kept a majority of the new ones
    And every planner server has a live coordinator outside its failure domain
    And the planner cell's partitions are spread with at most 4 on a server
    And the planner log gains no record in 10 s

  Scenario Outline: <members> members in domains of <sizes> choose <voters> voters
    Guards against an even set of voters, and against a domain that holds a majority.
    Given a planner cell with failure domains of <sizes> instances
    When the planner cell runs for 8 s
    Then the planner cell has <voters> voters with at most <limit> in each failure domain

    Examples:
      | members | sizes | voters | limit |
      | 1       | 1     | 1      | 1     |
      | 2       | 1,1   | 1      | 1     |
      | 8       | 3,3,2 | 7      | 3     |
      | 9       | 5,3,1 | 7      | 3     |
      | 9       | 7,1,1 | 3      | 1     |
      | 12      | 4,4,4 | 9      | 3     |
      | 4       | 4     | 3      | 3     |

  Scenario Outline: Loss of <lost> is repaired within <ms> ms
    Guards against a fence or a takeover that waits for more than the promise of 300 ms.
    Given a settled planner cell of 9 instances in 3 failure domains with 20 servers
    When the planner cell loses <lost>
    And the planner cell runs until it is repaired
    And the planner cell runs for 11 s
    Then the lost planner instances are fenced and replaced within <ms> ms
    And at most 2 planner claims were written
    And no planner partition has moved
    And every planner voter is live and no voters are pending

    Examples:
      | lost                          | ms  |
      | a coordinator                 | 400 |
      | the planner                   | 400 |
      | the planner and its successor | 500 |
      | the planner's failure domain  | 560 |

  Scenario: Another voter is lost while the voters change
    Guards against pending voters that nobody commits after a second loss.
    Given a settled planner cell of 6 instances in 3 failure domains with 6 servers
    When the planner cell loses a voter
    And the planner cell runs until voters are pending
    And the planner cell loses a voter
    And the planner cell runs for 12 s
    Then every planner voter is live and no voters are pending

  Scenario: A lost voter without a spare is replaced when an instance joins
    Guards against changes of voters that gain nothing and interrupt everybody's authority.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner cell loses a coordinator
    And the planner cell runs for 5 s
    Then the planner voters did not change
    When 1 instances join the planner cell
    And the planner cell runs for 1 s
    Then every planner voter is live and no voters are pending
    And every change of planner voters kept a majority of the new ones

  Scenario: The voters grow with the cell
    Guards against a step so large that everybody's authority waits for new promises.
    Given a settled planner cell of 3 instances in 3 failure domains with 6 servers
    When 6 instances join the planner cell
    And the planner cell runs for 8 s
    Then the planner cell has 9 voters with at most 5 in each failure domain
    And every change of planner voters kept a majority of the new ones

  Scenario: Two more of five voters are lost before the first is replaced
    Guards against a fenced voter that counts for ever though its process is gone.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner cell loses a voter
    And the planner cell runs for 1 s
    And the planner cell loses a voter
    And the planner cell loses a voter
    And the platform's list drops the lost planner instances
    And the planner cell runs for 6 s
    Then the planner cell fenced 4 instances and authority is held

  Scenario: Two candidates claim at the same time
    Guards against two planners that both believe that their epoch is in force.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    And the planner log takes 300 ms for an append
    When the planner cell loses the planner
    And the planner cell runs for 5 s
    Then a planner claim was rejected and one came into force
    And every planner record in force was written by the holder of its epoch

  Scenario: A planner with a stale state is superseded
    Guards against plans of an old epoch that take effect.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner cell's planner stops reading the log and another claims the epoch
    And a planner server of a current coordinator goes down
    And the planner cell runs for 2 s
    Then the old planner wrote nothing into force
    And that planner server owns nothing

  Scenario: A planner without authority is replaced though it answers
    Guards against a planner that holds the epoch but can't reach a majority of the voters.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner cell's planner gets no promises
    And the planner cell runs for 4 s
    Then the planner role went to another instance

  Scenario: An isolated instance leaves the planner alone
    Guards against an instance without peers that takes the role again and again.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When 2 planner instances fail and another one is cut off but reads the log
    And the planner cell runs for 6 s
    Then the planner role did not change

  Scenario: Two instances that can't reach each other share the cell
    Guards against two planners that take the role from each other, and against a coordinator
    whose reports never arrive.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner cell's planner and a coordinator lose their connection
    And the planner cell runs for 6 s
    Then the planner role did not change
    And the planner cell fenced 0 instances and authority is held
    And the coordinator without a connection has no planner server

  Scenario: The planner waits for the log
    Guards against appends into an outage and against a warning in every round.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner log goes down
    And the planner cell loses a coordinator
    And the planner cell runs for 5 s
    Then each planner instance attempted no append and warned once
    When the planner log comes back
    And the planner cell runs for 1 s
    Then the lost planner instances are fenced and replaced

  Scenario Outline: A majority of the voters is lost while the list <behaviour>
    Guards against a cell that never recovers, and against fencing instances that may be alive.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner cell loses 3 instances while the platform's list <behaviour>
    And the planner cell runs for 9 s
    Then the planner cell fenced <fenced> instances and authority is <authority>

    Examples:
      | behaviour                   | fenced | authority |
      | drops them                  | 3      | held      |
      | still shows them            | 0      | lost      |
      | drops them but stands still | 0      | lost      |
      | drops them now and then     | 0      | lost      |
      | is empty                    | 0      | lost      |
      | drops everyone but one      | 3      | held      |

  Scenario Outline: All instances are replaced <how>
    Guards against a cell whose voters are all gone and that nobody can fence.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When all planner instances are replaced <how>
    And the planner cell runs for <seconds> s
    Then every planner voter is live and no voters are pending
    And every planner server has a live coordinator outside its failure domain
    And no planner partition has moved

    Examples:
      | how                         | seconds |
      | by others                   | 7       |
      | by themselves at their port | 5       |

  Scenario: A leaving instance hands its roles over
    Guards against a shutdown that leaves servers without a coordinator until a fence.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When a planner coordinator leaves
    And the planner cell runs for 13 s
    Then the planner instance has left without a fence
    And every planner voter is live and no voters are pending
    And every planner server has a live coordinator outside its failure domain

  Scenario: A lost server's partitions move in one record
    Guards against a recovery that waits for the move budget or moves other partitions.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner server "s1" goes down
    And the planner cell runs for 0.2 s
    Then one planner record moved the partitions of "s1" and no others

  Scenario: A new coordinator's first report is not believed
    Guards against moving the partitions of a server that only changed its coordinator.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    And planner servers look down until their coordinator has had them for 350 ms
    When the planner cell loses a coordinator
    And the planner cell runs for 5 s
    Then no planner partition has moved

  Scenario: Only the coordinator speaks for a server
    Guards against a late report of an earlier coordinator that takes a server's partitions away.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When each planner instance reports the servers of others as down
    And the planner cell runs for 2 s
    Then no planner partition has moved

  Scenario: A server that stays down gets another coordinator
    Guards against a coordinator that can't reach a server which works for others.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner server "s1" can't be reached by its coordinator
    And the planner cell runs for 20 s
    Then the planner server "s1" is up under another coordinator

  Scenario: A flapping server causes no storm of moves
    Guards against a server that fails every 2 s and gets its partitions back each time.
    Given a settled planner cell of 5 instances in 3 failure domains with 6 servers
    When the planner server "s1" goes down and comes up every 2 s for 60 s
    Then the planner log gained at most 12 plans and 30 moves

  Scenario: Many failures stay within the append budget
    Guards against one plan for each report while servers fail one after another.
    Given a settled planner cell of 5 instances in 3 failure domains with 60 servers
    When 50 planner servers go down one every 40 ms
    And the planner cell runs for 3 s
    Then the planner log gained at most 22 plans in 2 s
    And no planner partition is owned by a server that is down
