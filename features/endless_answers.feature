Feature: Answers without end, on each channel that reads answers

  The smallest instance has 200 MB, of which 40 MB are in use without load. It has up to ten channels
  to one faulty process at a time, so that each may take 16 MB.

  Scenario Outline: A process that reads <channel> survives bytes without end
    Guards against a server, a store or another instance that sends bytes which are no answer until
    the connection is closed: they were all kept, and the process ran out of memory (further report of
    issue 45).
    When a process reads <channel> from a server that pours each form of bytes without end
    Then its memory grows by less than 16 MB with each form
    And no step of its event loop takes 0.25 s of processor time

    Examples:
      | channel                |
      | a request              |
      | a relayed request      |
      | a relay's reply        |
      | a grant                |
      | a release              |
      | a read of the store    |
      | a listing of the store |
      | an append to the store |
      | a read of the log      |
      | a session's command    |
      | a backend request      |

  Scenario Outline: A process that reads <channel> gives up bytes without end in time
    Guards against a channel that reads on behind its timeout. The longest one is 1.5 s, and a process
    stays for 0.5 s after its call.
    When a process reads <channel> from a server that pours each form of bytes without end
    Then it gives up within 2.5 s

    Examples:
      | channel                |
      | a request              |
      | a relayed request      |
      | a relay's reply        |
      | a grant                |
      | a release              |
      | a read of the store    |
      | a listing of the store |
      | an append to the store |
      | a read of the log      |
      | a session's command    |
      | a backend request      |

  Scenario Outline: Callers are served while one of three servers pours <form>
    Guards against one faulty server whose bytes keep an instance from serving the callers of the
    sound ones, or end its process.
    Given the gateway's program, two sound servers and one that pours <form> without end
    When 25 requests a second that may repeat are sent to it for 4 s
    Then at least 95 in 100 are answered 200 by a sound server within 1 s, and none by the other one
    And the program still runs, and its memory has stayed below 100 MB

    Examples:
      | form                    |
      | no answer at all        |
      | header lines            |
      | interim answers         |
      | chunk extension         |
      | body without a length   |
      | body in chunks          |
      | body of a failure       |
      | body of another answer  |
