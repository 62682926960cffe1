@0xb6d0a7f1c2943e58;
# Messages by which gateways request and grant permits for servers with a rate
# limit, one per datagram.  A negative rate stands for no limit.

struct Message {
  name @0 :Text;
  life @1 :UInt64;
  number @2 :UInt64;
  rate @3 :Float64;
  saidAgoMs @4 :UInt32;
  union {
    ask @5 :Ask;
    reply @6 :Reply;
  }
}

struct Ask {
  patienceMs @0 :UInt32;
  forReturn @1 :Bool;
  reserves @2 :Bool;
}

struct Reply {
  isGiven @0 :Bool;
  waitMs @1 :UInt32;
  returnMs @2 :UInt32;
}
