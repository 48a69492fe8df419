Feature: Planner

  Scenario: A new cell gets voters, coordinators and owners
    Guards against a cell that never starts, or starts with voters in one failure domain only.
    Given a planner cell of 9 instances in 3 failure domains with 20 servers
    When the planner cell runs for 5 s
    Then the planner cell has 9 voters with at most 3 in each failure domain
    And every planner server has a live coordinator outside its failure domain
    And the planner cell's partitions are spread with at most 4 on a server
    And the planner log gains no record in 10 s
