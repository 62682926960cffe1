@0xe54f4a59bd59943a;
# Messages by which a gateway borrows single retries or connections to servers
# from another one, one per datagram.

struct Message {
  union {
    request @0 :Request;
    reply @1 :Reply;
    connectionRequest @2 :Connections;
    connectionReply @3 :Connections;
  }
}

struct Request {
  number @0 :UInt64;
  pool @1 :Text;
}

struct Reply {
  number @0 :UInt64;
  isLent @1 :Bool;
}

struct Connections {
  number @0 :UInt64;
  servers @1 :List(UInt64);
  count @2 :UInt32;
}
