Feature: Servers that name a limit on their requests

  Scenario: All instances together send a server no more than the limit that it names
    Guards against a server that gets as much from each instance as before it named a limit, or the
    whole limit from each of them (LIMIT at i-9c4b9a2d39, inc1 on belltone-archive).
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When server "s1" names a limit of 4 requests a second and gets 10 a second by each instance
    Then from 3 s on it got in each 4 s at most half as much again and 5 requests and commands
    And each request that it didn't run was refused with a Retry-After within 0.2 s
