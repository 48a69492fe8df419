Feature: Messages that are cut off never look whole

  Scenario Outline: A connection to a server returns whole answers only
    Guards against an answer whose head or body was cut off and that is returned as whole.
    Given the table of <answers> answers
    When each is cut off at each byte, in <packets>, and the connection <ends>
    Then each cut is returned if it is whole and fails if it is not

    Examples:
      | answers   | packets     | ends                                   |
      | sound     | one packet  | ends in the same packet                |
      | sound     | one packet  | ends later                             |
      | sound     | one packet  | is reset                               |
      | sound     | one packet  | ends without an acknowledgement        |
      | sound     | single bytes | ends later                            |
      | malformed | one packet  | ends in the same packet                |
      | malformed | one packet  | is reset                               |
      | malformed | single bytes | ends later                            |

  Scenario Outline: A randomly changed answer is returned only as a strict reader returns it
    Guards against a lenient reading of a damaged answer that makes a part of it look whole.
    When 6000 sound answers are changed at random with seed <seed> and sent by a server
    Then each that is returned is what a strict reader returns

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario: Bytes after a whole answer end the reuse of its connection
    Guards against a start of another answer that stays in the parser: its status would be returned
    with the headers and the body of the answer to the next request.
    Given the table of followed answers
    When each arrives up to each of the bytes behind it, on a connection that stays open
    Then each whole answer is returned, and only those without further bytes allow another exchange

  Scenario Outline: A caller never gets a part of an answer as whole
    Guards against a framing or an end of the caller's connection that makes a part look whole.
    When a server <ends> after each byte of a <size> answer to an HTTP/<version> caller
    Then the caller gets each whole answer, and never a part as whole

    Examples:
      | ends   | size  | version |
      | closes | small | 1.1     |
      | resets | small | 1.1     |
      | closes | large | 1.1     |
      | resets | large | 1.1     |
      | closes | large | 1.0     |
      | resets | large | 1.0     |

  Scenario Outline: A gateway that ends within an answer doesn't make it look whole
    Guards against an HTTP/1.0 caller, which knows the end of such an answer by the end of its
    connection only, and whose connection the kernel closes when the process ends.
    Given a gateway process that streams <size> bytes to an HTTP/1.0 caller and <ending>
    When the caller reads until the connection ends
    Then the caller got <size> bytes and the connection <end>

    Examples:
      | ending    | size   | end      |
      | is killed | 1000   | is reset |
      | stops     | 1000   | is reset |
      | finishes  | 1000   | ends     |
      | finishes  | 400000 | ends     |
      | finishes  | 20000000 | ends   |

  Scenario: A gateway that is killed before the last bytes are sent doesn't make an answer look whole
    Guards against a connection that closes in order because its last bytes wait to be sent.
    Given a gateway process that streams 20000000 bytes to an HTTP/1.0 caller and finishes and is killed
    When the caller reads until the connection ends
    Then the caller got less than 20000000 bytes and the connection is reset

  Scenario Outline: A key command is done only with a whole answer
    Guards against keys that count as granted or released, with a part of the proof of release,
    because the start of an answer says so.
    Given a server whose answers to key commands are framed by <framing>
    When it <ends> after each byte of its answer to a release
    Then the release is done if the answer is whole, and otherwise not

    Examples:
      | framing | ends   |
      | length  | closes |
      | chunks  | closes |
      | close   | closes |
      | close   | resets |

  Scenario Outline: A request that is cut off is never run
    Guards against a caller that stops in the middle of a request, of which the start is run, and
    against a request that is run without its body.
    Given the table of <requests> requests
    When each is cut off at each byte, in <packets>, and its caller <leaves>
    Then each request is run if it is whole, with its whole body, and otherwise not

    Examples:
      | requests  | packets      | leaves |
      | sound     | one packet   | closes |
      | sound     | one packet   | resets |
      | sound     | single bytes | closes |
      | malformed | one packet   | closes |
      | malformed | single bytes | closes |
