Feature: Placement

  Scenario Outline: Partitions without a usable owner move at once: <case>
    Guards against moves that nobody needs, and against partitions left on unusable servers.
    Given placement servers <servers>
    And placement partitions <partitions>
    Then the placement requires the moves <moves>

    Examples: u usable, d down or leaving, r removed; partition=owner:load, <holder, !pin
      | case                              | servers       | partitions            | moves       |
      | first assignment                  | a=u b=u       | 1=:2 2=:1 3=:1        | 1a 2b 3b    |
      | nothing to do                     | a=u b=u       | 1=a:1 2=b:1           | none        |
      | owner lost                        | a=d b=u c=u   | 1=a:2 2=a:1 3=b:1     | 1c 2b       |
      | target lost before the release    | a=u b=d c=u   | 1=b:1<a 2=a:5         | 1a          |
      | source lost during a move         | a=d b=u       | 1=b:1<a               | none        |
      | no other server                   | a=d           | 1=a:1                 | none        |
      | removed without another server    | a=r           | 1=a:1                 | 1-          |
      | released without another server   | a=r           | 1=:1<a                | none        |
      | a pin elsewhere                   | a=u b=u       | 1=a:1!b 2=b:1         | 1b          |
      | a pin to a server that is down    | a=u b=d       | 1=b:1!b               | 1a          |
      | unequal slots                     | a=u2 b=u1     | 1=:1 2=:1 3=:1        | 1a 2a 3b    |

  Scenario Outline: Rebalancing: <case>
    Guards against churn without gain, and against overload that stays.
    Given placement servers <servers>
    And placement partitions <partitions>
    Then the placement rebalances with the moves <moves> within a budget of <budget>

    Examples: a partition marked ~ may not move yet
      | case                      | servers          | partitions                      | budget | moves |
      | within the hysteresis     | a=u b=u          | 1=a:1 2=a:10 3=b:9              | 9      | none  |
      | too small a gain          | a=u b=u          | 1=a:9 2=a:0.1 3=b:5             | 9      | none  |
      | overload                  | a=u b=u          | 1=a:3 2=a:3 3=a:3 4=b:3         | 9      | 3b    |
      | overload of slots         | a=u1 b=u2        | 1=a:3 2=a:3 3=b:3 4=b:3         | 9      | 2b    |
      | budget spent              | a=u b=u          | 1=a:3 2=a:3 3=a:3 4=b:3         | 0      | none  |
      | the best one first        | a=u b=u          | 1=a:1 2=a:4 3=a:5 4=b:2         | 1      | 2b    |
      | a swap of the overload    | a=u b=u          | 1=a:9 2=b:3                     | 9      | none  |
      | just moved                | a=u b=u          | 1=a:3~ 2=a:3~ 3=a:3~ 4=b:3      | 9      | none  |
      | pinned                    | a=u b=u          | 1=a:3!a 2=a:3!a 3=a:3!a 4=b:3   | 9      | none  |
      | neighbours of a heavy one | a=u b=u c=u      | 1=a:9 2=a:2 3=a:2 4=b:4 5=c:4   | 9      | 2b 3c |
      | a cold server             | a=u b=u c=u@0.25 | 1=a:4 2=a:4 3=a:1 4=b:4 5=b:4   | 9      | 3c    |
      | a held server             | a=u b=u@0        | 1=a:4 2=a:4 3=a:1               | 9      | none  |

  Scenario Outline: Hot keys: <case>
    Guards against isolating keys that gain nothing and keeping cold keys apart for ever.
    Given placement servers a=u2 b=u2
    And placement partitions <partitions>
    And placement keys <keys>
    Then the placement isolates <added>, merges <removed> and moves <moves>

    Examples: key@shard:load; an isolated key is marked *, a cold one -
      | case                        | partitions                | keys     | added | removed | moves |
      | hot on an overloaded server | 1=a:1.5 2=a:0.3 3=b:0.2   | k@1:1    | k     | none    | none  |
      | hot on a server with room   | 1=a:1.5 2=b:1.5           | k@1:1    | none  | none    | none  |
      | small                       | 1=a:1.5 2=a:0.3 3=b:0.2   | k@1:0.1  | none  | none    | none  |
      | shard under way             | 1=a:1.5<b 2=a:0.3 3=b:0.2 | k@1:1    | none  | none    | none  |
      | cold beside its shard       | 1=a:1 2=b:1 k=a:0.01      | k@1:0*-  | none  | k       | none  |
      | cold on another server      | 1=a:1 2=b:1 k=b:0.01      | k@1:0*-  | none  | none    | ka    |
      | cold and pinned             | 1=a:1 2=b:1 k=b:0.01!b    | k@1:0*-  | none  | none    | none  |
      | still warm                  | 1=a:1 2=b:1 k=b:0.4       | k@1:0*   | none  | none    | none  |

  Scenario: The heaviest keys are found in bounded memory
    Guards against heavy keys that are displaced by many light ones.
    Given placement hot keys with room for 20 keys
    When 3 heavy keys come among 2000 light ones
    Then the 3 heavy keys lead and at most 20 keys are held

  Scenario: Old heavy keys fade
    Guards against keys that stay hot after their demand ended.
    Given placement hot keys with room for 20 keys
    When the key "old" is counted 1000 times, 100 s pass and the key "new" is counted 10 times
    Then the placement hot keys are led by "new"
    When 100000 s pass without a key
    Then the placement hot key rates are all below 0.001

  Scenario: A hot key leaves its overloaded server and comes back when cold
    Guards against hot keys that never move, or keep a partition for ever.
    Given a settled planner cell of 3 instances in 3 failure domains with 4 servers
    When the placement key "star" takes 1.8 slots and every shard takes 0.08
    And the placement cell runs for 40 s
    Then the placement key "star" has a partition on a server with at most 12 shards
    When the placement key "star" takes 0 slots and every shard takes 0.08
    And the placement cell runs for 120 s
    Then the placement key "star" has no partition of its own

  Scenario: A pinned key goes to its server and stays
    Guards against pinned ownership that is ignored.
    Given a settled planner cell of 3 instances in 3 failure domains with 4 servers
    When a ticket pins the placement key "vip" to "s2"
    And the placement cell runs for 3 s
    Then the placement key "vip" is owned by "s2"

  Scenario: A leaving server is drained at once and a removed one disappears
    Guards against servers that keep partitions after a ticket took them away.
    Given a settled planner cell of 3 instances in 3 failure domains with 4 servers
    When a ticket makes the placement server "s1" leave and removes "s2"
    And the placement cell runs for 1 s
    Then the placement servers "s1" and "s2" own nothing and "s2" is gone

  Scenario: A cold server gets its share gradually
    Guards against a new server that is flooded before it is warm.
    Given a settled planner cell of 3 instances in 3 failure domains with 4 servers
    When every placement shard takes 0.08 slots
    And a ticket adds the placement server "s9"
    And the placement cell runs for 4 s
    Then the placement server "s9" owns 1 to 6 partitions
    When the placement cell runs for 60 s
    Then the placement server "s9" owns 9 to 14 partitions
