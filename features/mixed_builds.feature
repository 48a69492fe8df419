Feature: Builds side by side read each other's messages and records

  Scenario Outline: Messages of an earlier build survive decoding and encoding by this one
    Guards against a message of which one of two builds reads another value than the other wrote
    (incident of 2026-12-05, CONFIG and BUDGET, on days with two builds).
    Given the schemas and records of build "<build>"
    Then every link message of that build is the same after it was read and written by this one
    And every queue message of that build is the same after it was read and written by this one

    Examples:
      | build   |
      | c515a00 |
      | 0188336 |
      | ea34235 |
      | 4b449ff |
      | 7ac106f |
      | 4911bc0 |
      | 5adfd0b |
      | 51457f8 |
      | ddc3c20 |

  Scenario Outline: What this build sends is known to an earlier one
    Guards against a new kind of message or state that ends the links between two builds.
    Given the schemas and records of build "<build>"
    Then that build doesn't know the messages or states "<unknown>"

    Examples:
      | build   | unknown                                  |
      | c515a00 | suspects                                 |
      | 0188336 | none                                     |
      | ea34235 | none                                     |
      | 4b449ff | none                                     |
      | 7ac106f | none                                     |
      | 4911bc0 | none                                     |
      | 5adfd0b | none                                     |
      | 51457f8 | none                                     |
      | ddc3c20 | none                                     |

  Scenario Outline: Stored records are read by earlier builds and by this one
    Guards against an instance that deposes each leader whose record it can't read.
    Given the schemas and records of build "<build>"
    Then this build reads the plan and the leader that the build stored
    And this build stores the same plan as that build
    And that build <reads> the leader's record of this one

    Examples:
      | build   | reads        |
      | c515a00 | doesn't read |
      | 0188336 | doesn't read |
      | ea34235 | reads        |
      | 4b449ff | reads        |
      | 7ac106f | reads        |
      | 4911bc0 | reads        |
      | 5adfd0b | reads        |
      | 51457f8 | reads        |
      | ddc3c20 | reads        |

  Scenario Outline: Builds that read no frames relay with this one
    Guards against a relayed connection of which one end sends frames that the other doesn't read.
    Given the schema of relay messages of build "<build>"
    Then that build reads the requests and replies of this one as its own
    And this build reads the requests and replies of that one as ones without frames

    Examples:
      | build   |
      | 5adfd0b |
      | 51457f8 |

  Scenario: What a later build adds to a record or to the kinds of messages is passed over
    Guards against an instance that takes a leader of a later build for none, and against links that
    end at every message that it doesn't know.
    Then a leader's record with a sixth field is read
    And a link message of an unknown kind is read as one to be passed over

  Scenario Outline: Followers of earlier builds don't rely on a leader's old configuration
    Guards against followers that judge the configuration by the age of the registrations, the only
    age that their build reads.
    When the registrations of a leader are 0.2 s old and its configuration is <age>
    Then followers of earlier builds are told that the registrations are <at least> s old or more

    Examples:
      | age       | at least |
      | 1.6 s old | 1.6      |
      | unknown   | 3600     |

