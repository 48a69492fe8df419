Feature: Dependencies point one way

  Scenario: No module depends on itself through others
    Guards against modules that can't be read, tested or replaced by themselves.
    Given the modules of the package and their imports
    Then no chain of imports leads back to where it began

  Scenario Outline: The rooms of the package depend only on those below
    Guards against decisions that reach into the adapter, and products that need their stand-ins.
    Given the modules of the package and their imports
    Then no module of "<room>" imports from "<above>"

    Examples:
      | room                            | above                                                       |
      | hyssopwood                      | hyssopwood_standins                                         |
      | hyssopwood but platform         | hyssopwood.platform                                         |
      | hyssopwood.gateway              | hyssopwood.entry,hyssopwood.dispatch,hyssopwood.coordinator |
      | hyssopwood.keyspace             | hyssopwood.gateway.daemon,hyssopwood.gateway.dispatcher     |
      | hyssopwood but queue_experiment | hyssopwood.queue_experiment                                 |
