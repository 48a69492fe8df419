@0xb2f6c8e0d5a14973;

# A later version of the messages on links, with a kind that this build doesn't know.

struct LinkMessage {
  union {
    hello @0 :Void;
    report @1 :Void;
    plan @2 :Void;
    beat @3 :Void;
    change @4 :Void;
    servers @5 :Void;
    pause @6 :Void;
    instances @7 :Void;
    resync @8 :Void;
    suspects @9 :Void;
    added10 @10 :Void;
    added11 @11 :Void;
    added12 @12 :Void;
    added13 @13 :Void;
    added14 @14 :Void;
    addedLater @15 :Text;
  }
}
