Feature: Nothing is sent to the servers of an evacuated failure domain

  Scenario Outline: A bound of evacuations that is no positive number ends the start
    Guards against a process that takes a malformed bound for none and ignores evacuations.
    When the platform's settings are read with the line "bounds.evacuate_s=<value>"
    Then reading the platform's settings fails and names "<named>"

    Examples:
      | value | named             |
      | soon  | bounds.evacuate_s |
      |       | bounds.evacuate_s |
      | 0     | $                 |
      | -5    | $                 |
      | nan   | $                 |
      | inf   | $                 |

  Scenario Outline: Records of the topic evacuate domains and lift their evacuations
    Guards against a record that is taken for another one, or whose value is needed.
    When the topic's records "<records>" are applied one read after the other
    Then the evacuated domains are "<domains>"

    Examples:
      | records                                   | domains |
      | evacuate/b={}                             | b       |
      | evacuate/b=null                           | b       |
      | evacuate/b=\xff\xfe                       | b       |
      | evacuate/b=0                              | b       |
      | evacuate/b={} evacuate/b={}               | b       |
      | evacuate/b={} evacuate/c={}               | b,c     |
      | evacuate/c={} evacuate/b={}               | b,c     |
      | evacuate/b={} evacuate/b=                 |         |
      | evacuate/b= evacuate/b={}                 | b       |
      | evacuate/b={} evacuate/b= evacuate/b={}   | b       |
      | evacuate/b={} evacuate/c=                 | b       |
      | evacuate/b={} evacuate/B=                 | b       |
      | evacuation/b={} evacuate={} Evacuate/b={} |         |
      | evacuate/a/b={}                           | a/b     |
      | evacuate/elsewhere={}                     | elsewhere |

  Scenario Outline: A name that can't be a domain's is rejected and counted, and others still count
    Guards against a malformed record that ends the process or hides the records after it.
    When a record that evacuates <name> is applied, and then one that evacuates "b"
    Then the evacuated domains are "b"
    And 1 record was rejected and its error names the record's key

    Examples:
      | name                     |
      | an empty name            |
      | a name that is too long  |
      | a name with a line break |
      | a name that isn't UTF-8  |
      | half of a character      |

  Scenario: More domains than a heartbeat can list are rejected
    Guards against a writer who fills the memory and the leader's link.
    When 70 domains are evacuated
    Then 64 domains are evacuated
    And 6 records were rejected

  Scenario Outline: Of an own read and the leader's statement the later one counts
    Guards against an evacuation that is lifted, or comes back, by news that is out of date.
    Given an instance that has read "<own>" up to offset <read> of era <era>
    When the leader states "<stated>" up to offset <offset> of era <later>
    Then the evacuated domains are "<domains>"

    Examples:
      | own | read | era | stated | offset | later | domains |
      | b   | 10   | 1   |        | 9      | 1     | b       |
      | b   | 10   | 1   |        | 10     | 1     | b       |
      | b   | 10   | 1   |        | 11     | 1     |         |
      | b   | 10   | 1   | c      | 11     | 1     | c       |
      |     | 10   | 1   | b      | 9      | 1     |         |
      |     | 10   | 1   | b      | 11     | 1     | b       |
      | b   | 10   | 1   |        | 3      | 0     | b       |
      |     | 10   | 1   | b      | 3      | 2     | b       |
      | b   | 10   | 1   |        | 3      | 2     | b       |

  Scenario: An own read of earlier records changes nothing that the leader has stated since
    Guards against an instance that reads what it missed and evacuates a domain once more.
    Given an instance that has read "" up to offset 5 of era 0
    When the leader states "c" up to offset 9 of era 0
    And the instance reads that "b" is evacuated up to offset 7 of era 0
    Then the evacuated domains are "c"

  Scenario: A read that ends after the leader's statement is applied in full
    Guards against records that neither the statement nor the next read contains.
    Given an instance that has read "" up to offset 5 of era 0
    When the leader states "b" up to offset 7 of era 0
    And the instance reads that "b,c" is evacuated up to offset 8 of era 0
    Then the evacuated domains are "b,c"

  Scenario Outline: A listing without a domain lifts its evacuation only if it is whole
    Guards against a listing that is cut off and returns callers to an evacuated domain.
    Given an instance that has read "b" up to offset 10 of era 1
    When a <listing> listing without domains ends at offset 12 of era 1
    Then the evacuated domains are "<domains>"
    And the state that a leader would send <sent>

    Examples:
      | listing   | domains | sent                  |
      | whole     |         | has offset 12         |
      | truncated | b       | has offset 10         |

  Scenario: A new leader whose only listing was truncated states nothing
    Guards against followers that drop an evacuation because their new leader doesn't know it.
    When a truncated listing without domains ends at offset 12 of era 1
    Then the state that a leader would send is none

  Scenario Outline: A domain that a restored store lacks stays evacuated for a grace period
    Guards against requests between a restore and the operator's next write, and against a domain
    that stays evacuated for good because its record is lost.
    Given an instance that has read "b" up to offset 10 of era 1
    When a whole listing without domains ends at offset 4 of era 2
    And <seconds> s pass for the instance
    And <then>
    And 6 s pass for the instance
    Then the evacuated domains are "<domains>"

    Examples:
      | seconds | then                                                              | domains |
      | 4.9     | nothing else is read                                              |         |
      | 4.9     | the instance reads that "b" is evacuated up to offset 5 of era 2  | b       |
      | 4.9     | a whole listing without domains ends at offset 5 of era 2         |         |
      | 4.9     | the leader states "b" up to offset 5 of era 2                     | b       |
      | 5.1     | nothing else is read                                              |         |

  Scenario: The grace period has a length
    Guards against an evacuation that is lifted as soon as the store is restored.
    Given an instance that has read "b" up to offset 10 of era 1
    When a whole listing without domains ends at offset 4 of era 2
    And 4.9 s pass for the instance
    Then the evacuated domains are "b"

  Scenario: Whoever is told of a change sees all changes of the same read
    Guards against a heartbeat that states the position of a read and only its first domain.
    When a listing with the domains "a,b,c" is applied
    Then the first listener call saw the state "a,b,c"

  Scenario: Servers of an evacuated domain are returned as draining and remain as they registered
    Guards against requests to them, and against an evacuation that outlasts its end.
    Given a directory with servers in the domains "a,b"
    When domain "b" becomes evacuated
    Then every read of the directory returns the servers of "b" alone as draining
    And the digest and the stored records are as before
    And the listeners were told of the servers of "b" as draining
    When domain "b" is no longer evacuated
    Then every read of the directory returns no server as draining
    And the listeners were told of the servers of "b" as ready

  Scenario: A server that registers in an evacuated domain is returned as draining at once
    Guards against requests to servers that start while their domain is evacuated.
    Given a directory with servers in the domains "a"
    When domain "b" becomes evacuated
    And a server of domain "b" registers
    Then every read of the directory returns the servers of "b" alone as draining

  Scenario: A server that leaves during an evacuation stays draining when that is lifted
    Guards against requests to a server that is about to end.
    Given a directory with servers in the domains "a,b"
    When domain "b" becomes evacuated
    And the servers of "b" announce that they leave
    And domain "b" is no longer evacuated
    Then every read of the directory returns the servers of "b" alone as draining

  Scenario: Evacuations that a read of the last configuration leaves out are listed
    Guards against an evacuation that is lost because configurations are large.
    Given a feed of the operator's topic that has read all of it
    When a large configuration, the evacuation of "b" and 2 large configurations are written
    And the feed reads once
    Then the evacuated domains are "b"
    And the feed returned the last configuration

  Scenario: A listing of evacuations that fails doesn't cost the configuration, and is made up for
    Guards against a configuration or an evacuation that is lost with a single call.
    Given a feed of the operator's topic that has read all of it
    And the store's next listing fails
    When a large configuration, the evacuation of "b" and 2 large configurations are written
    And the feed reads once
    Then the feed returned the last configuration
    And the evacuated domains are ""
    When the feed reads once
    Then the evacuated domains are "b"

  Scenario: The first listing states the evacuated domains
    Guards against an instance that starts and sends requests before it knows them.
    Given a store whose topic has the evacuation of "b" and a configuration
    When the feed reads once
    Then the evacuated domains are "b"
    And the feed returned the last configuration

  Scenario: A first listing that the store cuts off is repeated
    Guards against an instance that takes a part of the topic for all of it.
    Given a store whose topic has the evacuation of "b" and a configuration
    And the store's listings are cut off before the first record
    When the feed reads once
    Then the state that a leader would send is none
    When the store's listings are whole again
    And the feed reads once
    Then the evacuated domains are "b"
    And the state that a leader would send has offset 2

  Scenario: A leader of an earlier build replaces no reads of the topic
    Guards against a follower that takes silence about evacuations for there being none.
    Then a heartbeat without evacuations replaces reads unless the follower needs them
    And a heartbeat with the evacuations of "b" replaces reads and is decoded as it was sent

  Scenario: A new leader grants evacuated servers only what their release needs, and not for long
    Guards against grants that reach an evacuated domain, and keys that wait until leases expire.
    Given a leader that inherits keys of servers in domains "a,b" from one that may run
    When domain "b" is evacuated for the leader and 8 s pass
    Then each server of "b" was granted its keys at most once and within 2.5 s
    And all keys were moved to servers of "a" within 2 s

  Scenario: A leader grants nothing to an evacuated server whose keys it has confirmed
    Guards against renewals that keep an evacuated domain in use.
    Given a leader that has confirmed the keys of servers in domains "a,b"
    When domain "b" is evacuated for the leader and 8 s pass
    Then no server of "b" was granted keys
    And all keys were moved to servers of "a" within 2 s

  Scenario: A leader stops renewals while all domains are evacuated and resumes them afterwards
    Guards against renewals where no server is left to move the keys to.
    Given a leader that has confirmed the keys of servers in domains "a,b"
    When both domains are evacuated for the leader and 12 s pass
    Then no server of "a" was granted keys
    And no server of "b" was granted keys
    When the evacuations are lifted for the leader and 2 s pass
    Then every server was granted keys again

  Scenario Outline: No request or grant reaches an evacuated domain, whatever happens after the write
    Guards against an instance that keeps the last known state because whoever would tell it is gone.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    When domain "b" is evacuated and <fault>
    And <watched> s pass under load
    Then no request reached domain "b" later than <bound> s after its evacuation
    And no grant reached domain "b" later than 5 s after its evacuation
    And callers got only answers and refusals, and only answers from <served> s on
    And every instance has the same digest of registrations
    When the evacuation of "b" is lifted
    Then requests reach domain "b" again within 4 s

    Examples:
      | fault                                    | watched | bound | served |
      | nothing else happens                     | 6       | 1     | 2      |
      | the leader is killed                     | 8       | 5     | 7      |
      | the leader loses the store               | 8       | 5     | 4      |
      | the store refuses all calls              | 6       | 5     | 6      |
      | the store is slow                        | 6       | 2     | 3      |
      | all connections to the store fall silent | 6       | 5     | 5      |

  Scenario: Servers without keys get no requests while their domain is evacuated
    Guards against queues of a domain that admit requests to its servers.
    Given 6 servers without keys and 3 instances in domains "a,b,c"
    When domain "b" is evacuated and nothing else happens
    And 3 s pass under load
    Then no request reached domain "b" later than 1 s after its evacuation
    And callers got only answers and refusals, and only answers from 0 s on
    When the evacuation of "b" is lifted
    Then requests reach domain "b" again within 2 s

  Scenario: Instances without a link to the leader learn of an evacuation themselves
    Guards against followers that wait for heartbeats that no longer come.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    And the links between the instances are cut
    When 2 s pass under load
    And domain "b" is evacuated and nothing else happens
    And 6 s pass under load
    Then no request reached domain "b" later than 2 s after its evacuation
    And no grant reached domain "b" later than 5 s after its evacuation

  Scenario: Followers of a leader of an earlier build read the topic themselves
    Guards against followers that take a heartbeat without evacuations for one that states none.
    Given a leader of an earlier build, 6 servers and 2 followers of this build
    When domain "b" is evacuated and nothing else happens
    And 6 s pass under load
    Then no request reached domain "b" later than 2 s after its evacuation
    And 2 instances know domain "b" as evacuated

  Scenario: An instance that relays its requests sends none to an evacuated domain
    Guards against relayed connections that outlast an evacuation.
    Given 6 servers and 3 instances whose links to servers can be cut
    And instance "i2" reaches servers by way of others only
    When domain "b" is evacuated and nothing else happens
    And 6 s pass under load
    Then no request reached domain "b" later than 1 s after its evacuation

  Scenario: Requests that wait for servers of an evacuated domain are placed again
    Guards against requests that stay in the queue of a server until their deadline.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    And every request takes 0.1 s
    When "24" requests for keys of domain "b" wait and the domain is evacuated
    Then no request reached domain "b" later than 0.8 s after its evacuation
    And every waiting request was answered by a server elsewhere or had begun before

  Scenario: Two domains are evacuated at once
    Guards against a change that replaces the one before it.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    When domain "b" is evacuated and nothing else happens
    And domain "c" is evacuated and nothing else happens
    And 6 s pass under load
    Then no request reached domain "b" later than 1 s after its evacuation
    And no request reached domain "c" later than 1 s after its evacuation
    And callers got only answers and refusals, and only answers from 2 s on

  Scenario: Callers are refused at once while all domains are evacuated
    Guards against callers that wait for a server that will not come, and endless moves of keys.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    When domain "a" is evacuated and nothing else happens
    And domain "b" is evacuated and nothing else happens
    And domain "c" is evacuated and nothing else happens
    And 7 s pass under load
    Then no request reached domain "a" later than 1 s after its evacuation
    And no grant reached domain "a" later than 5 s after its evacuation
    And no grant reached domain "c" later than 5 s after its evacuation
    And from 2 s on callers are refused at once with 503 and the instances count it
    When the evacuation of "c" is lifted
    Then requests reach domain "c" again within 8 s

  Scenario: An evacuation that is lifted while keys still move leaves each key with one owner
    Guards against a grant to the former owner beside the one to the next.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    When domain "b" is evacuated and nothing else happens
    And 0.2 s pass under load
    And the evacuation of "b" is lifted
    Then no key has two owners
    And requests reach domain "b" again within 4 s
    And no key has two owners

  Scenario: A store that is restored from an older copy lifts no evacuation at once
    Guards against requests to a domain whose record the store has lost and will be given again.
    Given 6 servers and 3 instances in domains "a,b,c" under load
    And a copy of the store is made
    When domain "b" is evacuated and nothing else happens
    And 2 s pass under load
    And the store is restored from a copy made before the evacuation
    And 2 s pass under load
    And domain "b" is evacuated and nothing else happens
    And 6 s pass under load
    Then no request reached domain "b" later than 1 s after its evacuation
    And 3 instances know domain "b" as evacuated

  Scenario: Evacuations are ignored without the setting of the bound
    Guards against a change of behaviour for deployments whose settings don't ask for it.
    Given 6 servers and 2 instances without the setting of the bound
    When domain "b" is evacuated and nothing else happens
    And 2 s pass under load
    Then requests still reach domain "b"
