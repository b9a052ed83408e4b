# What entry hosts tell each other. Times are nanoseconds on the sender's
# clock, which runs through suspends.
@0xb5d3f2a8c1e64970;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("spokesail::rpc");

struct Member {
  name @0 :Text;
  hall @1 :Text;
  peerAddress @2 :Text;
  httpAddress @3 :Text;
}

struct HostWord {
  host @0 :Text;
  reachable @1 :Bool;
  at @2 :Int64;
  group @3 :Text;
  incarnation @4 :Int64;
  phase @5 :UInt8;
  model @6 :Text;
  version @7 :Text;
  adapters @8 :List(Text);
  fence @9 :Int64;
  boot @10 :Text;
}

struct LoadWord {
  host @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
}

struct Beat {
  from @0 :Member;
  boot @1 :UInt64;
  sequence @2 :Int64;
  sent @3 :Int64;
  revision @4 :Int64;
  viewDigest @5 :UInt64;
  ready @6 :Bool;
  stopping @7 :Bool;
  wordsEpoch @8 :Int64;
  probedAt @9 :Int64;
  hasWords @10 :Bool;
  words @11 :List(HostWord);
  loads @12 :List(LoadWord);
  openModels @13 :List(Text);
}

struct BeatAck {
  from @0 :Member;
  boot @1 :UInt64;
  wordsEpoch @2 :Int64;
  revision @3 :Int64;
  ready @4 :Bool;
  stopping @5 :Bool;
  openModels @6 :List(Text);
  taken @7 :Int64;
}

struct Object {
  kind @0 :Text;
  name @1 :Text;
  version @2 :Int64;
  body @3 :Text;
  deleted @4 :Bool;
}

struct Stamp {
  kind @0 :Text;
  name @1 :Text;
  version @2 :Int64;
}

interface Peer {
  beat @0 (beat :Beat) -> (ack :BeatAck);
  push @1 (objects :List(Object)) -> ();
  pull @2 (known :List(Stamp)) -> (objects :List(Object));
}
