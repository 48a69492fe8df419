Feature: Requests to backend servers

  Scenario Outline: A server that <behaviour> has one outcome for <method>
    Guards against a request reported as not run although the server may have run it, against
    an incomplete or foreign answer that looks whole, and against a hidden second sending.
    Given a request script for backend
    Then "server <behaviour>, send <method>, ends <outcome>, seen 1, idle" holds

    Examples:
      | behaviour           | method | outcome                   |
      | answers             | POST   | answered whole            |
      | echoes-another-id   | POST   | unknown mismatched-answer |
      | refuses-the-token   | POST   | not-run moved             |
      | sheds               | POST   | not-run server-refused    |
      | fails-after-running | POST   | answered ran              |
      | closes              | POST   | unknown connection-lost   |
      | closes              | GET    | unknown connection-lost   |
      | sends-garbage       | POST   | unknown connection-lost   |
      | cuts-a-counted-body | POST   | cut                       |
      | cuts-a-chunked-body | GET    | cut                       |
      | sends-no-length     | POST   | unknown connection-lost   |
      | stays-silent        | POST   | unknown connection-lost   |
      | stalls-in-the-body  | POST   | cut                       |

  Scenario Outline: The client guards against <fault>
    Given a request script for backend
    Then "<script>" holds

    Examples:
      | fault                                  | script |
      | aiohttp's own retry of a dropped GET   | send GET, server closes, send GET, ends unknown connection-lost, seen 2 |
      | a byte after the permit's end          | send POST first_byte_by 0, ends not-run moved, seen 0 |
      | a byte after the deadline              | send POST deadline 0, ends not-run deadline-exceeded, seen 0 |
      | doubt although nothing could be sent   | stop, send POST, ends not-run server-unreachable, seen 0 |
      | bytes sent by a process just resumed   | watch, jump-ms 1000, send POST, ends not-run server-unreachable, seen 0 |
      | old connections after a pause          | send POST, jump-ms 1000, pass-ms 20, send-fresh POST, ends answered whole |
      | pools of silent connections            | send-together 2, server stays-silent, send POST, server answers, send-fresh POST, ends answered whole |
      | stragglers taken for silence           | server stays-silent, running 2, wait-ms 1500, still-waits |
      | servers that work past the deadline    | server stays-silent, running 2, wait-ms 100, finish, cancelled, idle |
      | servers that work for callers gone     | server stays-silent, running 2, wait-ms 100, leave, cancelled, idle |
      | a path that names another host         | send POST path //127.0.0.1:9/x, ends answered whole |
