@0xc1e6a97d25b8f304;
# What an instance has read of a server's request limit in the server's answers.

struct LimitNotice {
  server @0 :Text;
  bornMs @1 :UInt64;
  # Whether the newest answer names a limit, and the requests per second that it allows.
  named @2 :Bool;
  perS @3 :Float64;
  # Time since that answer.
  ageMs @4 :UInt32;
}
