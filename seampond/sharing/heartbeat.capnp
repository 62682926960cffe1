@0xd1c3a1b58f7e2a65;
# Heartbeat between gateways, one datagram each.  Servers, tenants and tables
# are identified by the hashes of their names.  Mappings are sent as parallel
# lists, since a list of structs is read field by field, which takes three times
# as long as a list of numbers.

struct Heartbeat {
  name @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  version @3 :UInt64;
  uptimeMs @4 :UInt64;
  isStopping @5 :Bool;
  isGone @6 :Bool;
  spentTenants @7 :List(UInt64);
  spentUnits @8 :List(UInt64);
  loadServers @9 :List(UInt64);
  loadRunning @10 :List(UInt16);
  loadUnread @11 :List(UInt32);
  proofTables @12 :List(UInt64);
  proofChanged @13 :List(UInt64);
  proofStoreMs @14 :List(UInt64);
  levelTenants @15 :List(UInt64);
  levelUnits @16 :List(Int64);
  isCut @17 :Bool;
  pages @18 :List(Page);
  rollouts @19 :List(Rollout);
  endRequests @20 :List(UInt64);
  endLives @21 :List(UInt64);
  endStartedAgoMs @22 :List(UInt32);
  endAgoMs @23 :List(UInt32);
  endsProven @24 :List(Bool);
  goodRequests @25 :List(UInt64);
  goodAgoMs @26 :List(UInt32);
  limitLives @27 :List(UInt64);
  limitRates @28 :List(Float64);
  limitSaidAgoMs @29 :List(UInt32);
  givesPermits @30 :Bool;
  keepsOrigins @31 :Bool;
  lendsRetries @32 :Bool;
  lendsConnections @33 :Bool;
  exitLives @34 :List(UInt64);
  exitAgoMs @35 :List(UInt32);
}

struct Rollout {
  pool @0 :UInt64;
  order @1 :UInt64;
  stage @2 :UInt8;
  openOld @3 :UInt32;
  routes @4 :List(UInt64);
  areNew @5 :List(Bool);
  answers @6 :List(UInt32);
  bad @7 :List(UInt32);
}

struct Page {
  table @0 :UInt64;
  since @1 :UInt64;
  version @2 :UInt64;
  storeMs @3 :UInt64;
  rowKeys @4 :List(Text);
  rowContents @5 :List(Data);
  rowVersions @6 :List(UInt64);
  rowsGone @7 :List(Bool);
}
