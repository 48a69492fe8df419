Feature: Queue and slots of one backend server

  Scenario Outline: The queue guards against <fault>
    A server has 2 slots and a queue of 6; "quick" work takes 20 ms, "slow" work 1000 ms.
    Given a request script for admission
    Then "<script>" holds

    Examples: arrive COUNT OPERATION MS-LEFT; wait NAME=CUSTOMER:OPERATION:MS-LEFT:WEIGHT
      | fault                                  | script |
      | more running than slots                | arrive 5 quick 500, counts 2 3, give-back, counts 2 2, give-back-again, counts 2 2 |
      | a queue that grows                     | arrive 8 quick 60000, arrive 1 quick 59000, refused queue-full |
      | work queued that will be late          | arrive 4 quick 60000, arrive 1 quick 30, refused would-miss-deadline |
      | waits that ignore running work         | arrive 2 slow 60000, arrive 1 quick 500, refused would-miss-deadline |
      | waits far beyond the contract          | arrive 2 slow 60000, arrive 1 quick 5000, counts 2 1, arrive 1 quick 5000 x 1 200, refused would-miss-deadline |
      | waits that ignore shedding             | shedding 900, arrive 1 quick 500, refused would-miss-deadline |
      | work for a closed queue                | close, arrive 1 quick 500, refused no-authority |
      | work without time left                 | arrive 1 quick 0, refused deadline-exceeded |
      | slots held for withdrawn requests      | withdraw-before-grant, counts 0 0 |
      | first come first served                | arrive 2 quick 60000, wait a=x:quick:900:1 b=x:quick:300:1 c=x:quick:600:1, order b c a |
      | short work behind long work            | arrive 2 quick 60000, wait a=x:slow:3000:1 b=x:quick:900:1 c=x:quick:800:1, order c b a |
      | a customer that takes all slots        | arrive 2 quick 60000, wait a=x:quick:500:1 b=x:quick:510:1 c=x:quick:520:1 d=y:quick:530:1, order a d b c |
      | weights that are ignored               | arrive 2 quick 60000, wait a=x:quick:500:1 b=x:quick:510:1 c=x:quick:520:1 d=y:quick:530:2 e=y:quick:540:2 f=y:quick:550:2, order a d e b f c |
      | long work on every slot                | arrive 1 slow 60000, arrive 1 quick 60000, wait a=x:slow:4000:1 b=x:quick:900:1 c=x:quick:910:1, order b c a |
      | the turn of long work on the last slot | arrive 1 slow 60000, arrive 1 quick 60000, arrive 1 slow 60001, stream 30 quick, still-queued 2 |
      | starved long work                      | arrive 2 quick 60000, arrive 1 slow 60000, stream 30 any, admitted 2 |
      | work kept after it was given up        | arrive 2 slow 60000, arrive 1 quick 2050, counts 2 1, pass-ms 2040, refused would-miss-deadline, counts 2 0 |
      | places kept for withdrawn work         | arrive 3 quick 500, call queue.cancel r2, counts 2 0 |
      | places kept for cancelled callers      | arrive 3 quick 500, cancel, counts 2 0 |
      | slots kept for cancelled callers       | arrive 3 quick 500, lose-slot, counts 1 0 |
      | reports that add slots                 | arrive 2 quick 60000, call queue.hint_load 0 0, arrive 1 quick 5000, counts 2 1 |
      | reports that close a server for long   | shedding 60000, arrive 1 quick 5000, counts 0 1, pass-ms 1100, counts 1 0 |
      | work given to a server that sheds      | arrive 2 quick 60000, shed-return, arrive 1 quick 5000, counts 1 1, pass-ms 150, counts 2 0 |
      | a crowd on a cold server               | call queue.set_cold 2, arrive 2 quick 9000, counts 1 1, pass-ms 1500, counts 2 0 |
      | goodput that falls in a peak           | peak 3 2 200 |
