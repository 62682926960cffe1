@0xd1c3a1b58f7e2a64;
# What gateways tell each other, one datagram each.

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  version @3 :UInt64;
  spent @4 :List(Spent);
  isStopping @5 :Bool;
  uptimeMs @6 :UInt64;
  loads @7 :List(Load);
  isGone @8 :Bool;
  proofs @9 :List(Proof);
}

struct Load {
  server @0 :Text;
  running @1 :UInt16;
  unread @2 :UInt32;
}

struct Spent {
  tenant @0 :Text;
  units @1 :Float64;
}

struct Proof {
  table @0 :Text;
  changed @1 :UInt64;
  storeMs @2 :UInt64;
}
