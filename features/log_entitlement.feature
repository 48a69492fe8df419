Feature: Entitlement under random orders of records and views

  Scenario Outline: Nobody is entitled twice, seeds <first> to <last>
    Guards against an order of records in which two servers serve a key or two instances coordinate
    a server, while instances apply the log at different speeds.
    When the log entitlement model runs <steps> steps with each seed from <first> to <last>
    Then the log entitlement model saw takeovers, acquisitions and rejections

    Examples:
      | first | last | steps |
      | 0     | 49   | 1500  |
      | 50    | 99   | 1500  |
