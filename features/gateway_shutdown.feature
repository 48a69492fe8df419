Feature: Graceful shutdown of a gateway instance

  Scenario Outline: A request that can't end within the shutdown time is refused before it is sent
    Guards against requests that are taken late in the shutdown time, passed on and cut off at its
    end, where a fixed time of acceptance fits neither the shutdown time nor the route's timeout.
    Given a platform with a shutdown time of <shutdown> s and routes with a timeout of <timeout> s
    And every request takes <work> s
    When instance "i1" stops and the rest of a request to it is sent <after> s later
    Then its caller has status <status>, and the connection is announced to close
    And the request ran <ran> times
    And the stopped instance ended by itself within its shutdown time

    Examples: refused, as the timeout doesn't fit
      | shutdown | timeout | after | work | status | ran |
      | 6        | 5.6     | 3.1   | 3    | 503    | 0   |
      | 3        | 5.6     | 1.9   | 2    | 503    | 0   |
      | 3        | 1.2     | 1.9   | 1.1  | 503    | 0   |
      | 1.5      | 5.6     | 0.7   | 1    | 503    | 0   |

    Examples: accepted, as the timeout fits or callers are still sent to the instance
      | shutdown | timeout | after | work | status | ran |
      | 6        | 1.5     | 3.3   | 1.2  | 200    | 1   |
      | 6        | 5.6     | 1     | 0.5  | 200    | 1   |
      | 3        | 1.2     | 1     | 1    | 200    | 1   |

  Scenario Outline: A request that waits in a queue when its instance ends is refused
    Guards against requests that are read, wait for a server and end with a closed connection.
    Given a platform with a shutdown time of <shutdown> s and routes with a timeout of 5.6 s
    And every request takes 6 s
    When 9 requests for one key are sent to instance "i1" and it stops 0.3 s later
    Then those that no server ran have status 503 before the instance ends
    And the stopped instance ended by itself within its shutdown time

    Examples:
      | shutdown |
      | 1.5      |
      | 3        |
      | 5        |
