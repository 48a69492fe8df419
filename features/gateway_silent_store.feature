Feature: Open connections to the store that go silent for good

  A machine whose connections went silent counts as in touch again 3 s later (`contact_s`).

  Scenario Outline: A configuration is in force in time after connections have gone silent
    Guards against an instance that tries one silent connection after the other, each until its
    timeout, while the store answers on new ones.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When a share of <share> of the open connections to the store goes silent for good
    And configuration 9 without the route is published <delay> s later while requests go to all instances
    Then every request sent 2 s after the publication, and 3 s after the silence, is answered 404

    Examples:
      | share | delay |
      | 1.0   | 0.0   |
      | 1.0   | 0.7   |
      | 1.0   | 1.2   |
      | 0.7   | 1.2   |
      | 1.0   | 1.6   |
      | 0.7   | 4.5   |
      | 1.0   | 4.5   |
      | 1.0   | 7.0   |

  Scenario Outline: A leaving server gets no requests although connections have gone silent
    Guards against an instance that reads registrations over silent connections and keeps sending to a
    server that has left.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2,i3"
    When a share of <share> of the open connections to the store goes silent for good
    And server "s1" drains <delay> s later while requests go to all instances
    Then no request sent 2 s after the drain, and 3 s after the silence, is answered by server "s1"
    And at least 97 in 100 of the requests sent then are served

    Examples:
      | share | delay |
      | 1.0   | 0.0   |
      | 1.0   | 1.2   |
      | 0.7   | 1.2   |
      | 0.7   | 5.0   |
      | 1.0   | 5.0   |
