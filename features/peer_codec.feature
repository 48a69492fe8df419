Feature: Codec of the messages between instances

  Scenario: Every message type survives encoding and decoding
    Guards against a schema and an attrs class that disagree.
    When each message type is encoded and decoded
    Then every decoded message equals the original

  Scenario Outline: Malformed bytes raise a typed error
    Guards against a peer that crashes an instance with bad bytes.
    When the bytes "<hex>" are decoded
    Then a protocol error is raised

    Examples:
      | hex                              |
      |                                  |
      | 00                               |
      | ffffffffffffffff                 |
      | 1004501101ff                     |
      | 100650020303010107060501ffffffff |
