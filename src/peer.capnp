# RPC interface between entry hosts. Times are in nanoseconds on the sender's
# clock, which keeps running while its machine is suspended.
@0xb5d3f2a8c1e64970;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("spokesail::rpc");

# An entry host and the addresses at which it listens.
struct Member {
  name @0 :Text;
  hall @1 :Text;
  peerAddress @2 :Text;
  httpAddress @3 :Text;
}

# Result of the sender's probes of one host.
struct HostWord {
  host @0 :Text;
  reachable @1 :Bool;
  # Time at which the probe was sent or, for an unreachable host, since which it
  # is unreachable.
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

# Load of one host, as the sender's probes found it.
struct LoadWord {
  host @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
}

# Heartbeat, sent in each period and on each change.
struct Beat {
  # The name alone, once the receiver knows the addresses.
  from @0 :Member;
  # Differs between starts of the sender's process.
  boot @1 :UInt64;
  sequence @2 :Int64;
  sent @3 :Int64;
  revision @4 :Int64;
  # Digest of the sender's view of the platform's objects.
  viewDigest @5 :UInt64;
  ready @6 :Bool;
  stopping @7 :Bool;
  # Grows with each change of the probe results.
  wordsEpoch @8 :Int64;
  # Time since which all probe results have been confirmed.
  probedAt @9 :Int64;
  # Whether `words` holds all probe results of the sender.
  hasWords @10 :Bool;
  words @11 :List(HostWord);
  # All loads other than zero.
  loads @12 :List(LoadWord);
  # Models and services that are open in the sender's data hall.
  openModels @13 :List(Text);
}

# Response to a heartbeat.
struct BeatAck {
  from @0 :Member;
  boot @1 :UInt64;
  # Epoch of the sender's probe results that the responding host has applied in
  # full; -1 if it has applied none.
  wordsEpoch @2 :Int64;
  revision @3 :Int64;
  ready @4 :Bool;
  stopping @5 :Bool;
  openModels @6 :List(Text);
  # Time at which the heartbeat was received, on the responding host's clock.
  taken @7 :Int64;
}

# An object of the platform.
struct Object {
  kind @0 :Text;
  name @1 :Text;
  version @2 :Int64;
  body @3 :Text;
  deleted @4 :Bool;
}

# Key and version of an object.
struct Stamp {
  kind @0 :Text;
  name @1 :Text;
  version @2 :Int64;
}

interface Peer {
  beat @0 (beat :Beat) -> (ack :BeatAck);
  # Passes objects on.
  push @1 (objects :List(Object)) -> ();
  # Requests the objects that are newer than the known ones or unknown.
  pull @2 (known :List(Stamp)) -> (objects :List(Object));
}
