@0xd1c3a1b58f7e2a65;
# What gateways tell each other, one datagram each.  Servers, tenants and
# tables are told by the keys of their names.

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  version @3 :UInt64;
  uptimeMs @4 :UInt64;
  isStopping @5 :Bool;
  isGone @6 :Bool;
  spent @7 :List(Spent);
  loads @8 :List(Load);
  proofs @9 :List(Proof);
  levels @10 :List(Level);
}

struct Load {
  server @0 :UInt64;
  unread @1 :UInt32;
  running @2 :UInt16;
}

struct Spent {
  tenant @0 :UInt64;
  units @1 :UInt64;
}

struct Level {
  tenant @0 :UInt64;
  units @1 :Int64;
}

struct Proof {
  table @0 :UInt64;
  changed @1 :UInt64;
  storeMs @2 :UInt64;
}
