Feature: Requests to backend servers

  Scenario Outline: A server that <behaviour> has one outcome for <method>
    Guards against a request reported as not run although the server may have run it, against
    an incomplete or foreign answer that looks whole, and against a hidden second sending.
    Given a request script for backend
    Then "set fake.behaviour <behaviour>, send <method>, expect outcome <outcome>, expect fake.seen 1, idle" holds

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
      | aiohttp's own retry of a dropped GET   | send GET, set fake.behaviour closes, send GET, expect outcome unknown connection-lost, expect fake.seen 2 |
      | a byte after the permit's end          | send POST first_byte_by 0, expect outcome not-run moved, expect fake.seen 0 |
      | a byte after the deadline              | send POST deadline 0, expect outcome not-run deadline-exceeded, expect fake.seen 0 |
      | doubt although nothing could be sent   | stop, send POST, expect outcome not-run server-unreachable, expect fake.seen 0 |
      | bytes sent by a process just resumed   | watch, jump-ms 1000, send POST, expect outcome not-run server-unreachable, expect fake.seen 0 |
      | old connections after a pause          | send POST, jump-ms 1000, pass-ms 20, send-fresh POST, expect outcome answered whole |
      | pools of silent connections            | send-together 2, set fake.behaviour stays-silent, send POST, set fake.behaviour answers, send-fresh POST, expect outcome answered whole |
      | stragglers taken for silence           | set fake.behaviour stays-silent, set fake.running 2, wait-ms 1500, expect waiting.done False |
      | servers that work past the deadline    | set fake.behaviour stays-silent, set fake.running 2, wait-ms 100, finish, cancelled, idle |
      | servers that work for callers gone     | set fake.behaviour stays-silent, set fake.running 2, wait-ms 100, leave, cancelled, idle |
      | a path that names another host         | send POST path //127.0.0.1:9/x, expect outcome answered whole |
