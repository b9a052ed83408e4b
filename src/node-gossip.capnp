# What nodes tell each other in datagrams.
@0xd1f0a6b3c2e84b97;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("spokesail::rpc");

struct Place {
  name @0 :Text;
  running @1 :UInt32;
  unreadTokens @2 :Float32;
}

struct NodeGossip {
  node @0 :Text;
  # Chosen at random at each start.
  boot @1 :UInt64;
  # Grows with each message of a start.
  sequence @2 :UInt64;
  # What the sender has in flight.
  places @3 :List(Place);
  # Servers that the sender thinks do not answer.
  suspects @4 :List(Text);
  # The lease of the group controller, if the sender holds it.
  leaseVersion @5 :Int64;
  leaseRecord @6 :Text;
  # Whether the sender has had requests.
  requestsSeen @7 :Bool;
  # Servers that the holder of the lease found not to answer.
  silent @8 :List(Text);
}
