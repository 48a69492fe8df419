Feature: Large configurations are in force in time over narrow links

  A configuration with 1,400 more routes has 0.25 MB. Machines have links of 10 Mbit/s, of which reads
  of the store got 4.6 on a played day; the smallest links have 5. A version must be in force 2.5 s
  after its confirmation, at instances that have lost no connection for 3 s.

  Scenario Outline: Large configurations in series are in force in time
    Guards against a read that is given up although its bytes arrive, and begins again with one version
    more (incident of 2026-12-05, CONFIG on belltone-archive-grown: instances that never took a version
    again).
    Given instances with links of <mbit_s> Mbit/s to the store
    When <count> versions with <routes> more routes are published every <interval> s, with <disturbances>
    Then each version or a later one is in force at each instance 2.5 s after its publication, or 3 s after connections were last lost

    Examples:
      | mbit_s | count | routes | interval | disturbances                      |
      | 10     | 8     | 1400   | 0.9      | nothing                           |
      | 4.6    | 8     | 1400   | 0.9      | nothing                           |
      | 4.6    | 8     | 100    | 0.3      | silence at 1.0                    |
      | 10     | 8     | 1400   | 0.9      | silence at 1.0                    |
      | 4.6    | 8     | 1400   | 0.9      | silence at 1.0                    |
      | 4.6    | 8     | 1400   | 0.9      | reset at 1.2                      |
      | 4.6    | 8     | 1400   | 0.9      | silence at 1.0 and silence at 5.0 |
      | 4.6    | 8     | 1400   | 0.9      | silence at 1.0 and reset at 2.5   |
