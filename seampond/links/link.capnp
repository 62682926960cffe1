@0xbf5147cbbecf40c1;
# What an entry and an agent say to each other.  Packets follow one another
# on a TCP connection, each behind its length.

struct Packet {
  items @0 :List(Item);
}

struct Item {
  union {
    hello @0 :Hello;
    proof @1 :Proof;
    reserve @2 :Reserve;
    withdraw @3 :Withdraw;
    ask @4 :Ask;
    grant @5 :Grant;
    deny @6 :Deny;
    turnAway @7 :TurnAway;
    head @8 :Head;
    frame @9 :Frame;
    finish @10 :Finish;
    cancel @11 :Cancel;
    resume @12 :Resume;
    received @13 :Received;
    pulse @14 :Pulse;
  }
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  version @0 :UInt16;
  name @1 :Text;
  incarnation @2 :Text;
  pool @3 :Text;
  hall @4 :Text;
  nonce @5 :Data;
  generation @6 :UInt64;
}

struct Proof {
  digest @0 :Data;
}

struct Reserve {
  id @0 :Text;
  attempt @1 :UInt16;
  tier @2 :UInt8;
  remainingMs @3 :UInt32;
  promptTokens @4 :UInt32;
  prefix @5 :Text;
}

struct Withdraw {
  id @0 :Text;
  attempt @1 :UInt16;
}

struct Ask {
  id @0 :Text;
  attempt @1 :UInt16;
}

struct Grant {
  id @0 :Text;
  attempt @1 :UInt16;
  remainingMs @2 :UInt32;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  repeatable @7 :Bool;
  claimKey @8 :Text;
}

struct Deny {
  id @0 :Text;
  attempt @1 :UInt16;
}

struct TurnAway {
  id @0 :Text;
  attempt @1 :UInt16;
  reason @2 :Text;
  floor @3 :UInt8;
  retryAfterMs @4 :UInt32;
}

struct Head {
  id @0 :Text;
  attempt @1 :UInt16;
  status @2 :UInt16;
  headers @3 :List(Header);
}

struct Frame {
  id @0 :Text;
  attempt @1 :UInt16;
  number @2 :UInt32;
  payload @3 :Data;
}

struct Finish {
  id @0 :Text;
  attempt @1 :UInt16;
  count @2 :UInt32;
  run @3 :Text;
  reason @4 :Text;
  promptTokens @5 :UInt32;
  cachedTokens @6 :UInt32;
  outputTokens @7 :UInt32;
}

struct Cancel {
  id @0 :Text;
  attempt @1 :UInt16;
}

struct Resume {
  id @0 :Text;
  attempt @1 :UInt16;
  next @2 :UInt32;
}

struct Received {
  id @0 :Text;
  attempt @1 :UInt16;
}

struct Pulse {
  running @0 :UInt16;
  slots @1 :UInt16;
  queued @2 :UInt32;
  floor @3 :UInt8;
  leaving @4 :Bool;
  generation @5 :UInt64;
  backlogMs @6 :UInt32;
}
