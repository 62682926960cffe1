@0xe9a1c4b07d3f5826;
# Messages by which gateways report and request the server versions that began
# streams, one per datagram.  Pools are identified by the hashes of their names,
# streams by those of the requests that brought their first events.

struct Message {
  union {
    report @0 :Report;
    request @1 :Request;
    reply @2 :Reply;
    unverified @3 :UnverifiedReport;
  }
}

struct Report {
  pool @0 :UInt64;
  version @1 :Text;
  streams @2 :List(UInt64);
}

# A message of its own: earlier releases would take these versions as certain.
struct UnverifiedReport {
  pool @0 :UInt64;
  version @1 :Text;
  streams @2 :List(UInt64);
  incarnation @3 :UInt64;
  connectedAgoMs @4 :UInt32;
}

struct Request {
  number @0 :UInt64;
  stream @1 :UInt64;
  pool @2 :UInt64;
}

struct Reply {
  number @0 :UInt64;
  isKnown @1 :Bool;
  pool @2 :UInt64;
  version @3 :Text;
  ageMs @4 :UInt32;
  watchedMs @5 :UInt32;
  seenVersions @6 :List(Text);
  seenAgoMs @7 :List(UInt32);
  isUncertain @8 :Bool;
  isUnverified @9 :Bool;
}
