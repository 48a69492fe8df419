Feature: Import dependencies between modules point one way

  Scenario: No module imports itself through other modules
    Guards against modules that can't be read, tested or replaced in isolation.
    Given the modules of the package and their imports
    Then the imports contain no cycle

  Scenario Outline: Each layer of the package imports only lower layers
    Guards against decision code that imports the platform adapter, and production code that imports
    the stand-ins.
    Given the modules of the package and their imports
    Then no module of "<layer>" imports from "<upper>"

    Examples:
      | layer                           | upper                                                       |
      | hyssopwood                      | hyssopwood_standins                                         |
      | hyssopwood but platform         | hyssopwood.platform                                         |
      | hyssopwood.gateway              | hyssopwood.entry,hyssopwood.dispatch,hyssopwood.coordinator |
      | hyssopwood.keyspace             | hyssopwood.gateway.daemon,hyssopwood.gateway.dispatcher     |
      | hyssopwood but queue_experiment | hyssopwood.queue_experiment                                 |
