Feature: The whole request path of the gateway against stand-ins of the platform

  Scenario: Two instances serve keys that three servers own exclusively
    Guards against components that work separately but not together.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When 60 requests for spread keys are sent to the instances in turn
    Then every request was answered by the server that owns its key
    And every request ran once
    And exactly one instance leads

  Scenario: Keys of a leaving server are served by others, already warm and without a failure
    Guards against requests that are lost because a server shuts down.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When 60 requests for spread keys are sent to the instances in turn
    And server "s1" drains and 2 s pass
    And 60 requests for spread keys are sent to the instances in turn
    Then every request was answered by the server that owns its key
    And server "s1" ran none of the last 60 requests

  Scenario: A leader's graceful stop interrupts no requests
    Guards against keys without an owner and interrupted requests when the leader is replaced.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When the leading instance stops while requests go to the other one
    Then every request was answered by the server that owns its key
    And the stopped instance ended by itself within 6 s

  Scenario: A stopping instance whose callers stay connected interrupts none of their requests
    Guards against requests that are accepted until the process ends (fault run on beridze-gw,
    scale-2 with seed 640143000427).
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    And every request takes 0.6 s
    When instance "i1" stops while callers keep sending it requests on new and kept connections
    Then the stopped instance ended by itself within 6 s
    And none of the requests that it accepted was interrupted

  Scenario: A newer configuration takes effect on all instances and an older one never again
    Guards against a late read that restores an old configuration.
    Given a platform with servers "s1,s2,s3" of a sharded service and instances "i1,i2"
    When configuration 9 without the route is published and then version 8 with it
    Then both instances answer 404 within 2 s and keep doing so

  Scenario: An instance reports readiness only when it can serve
    Guards against callers that are routed to an instance without a configuration.
    Given a platform without a configuration and instances "i1"
    Then instance "i1" reports that it is not ready
    When configuration 5 is published
    Then instance "i1" reports that it is ready
