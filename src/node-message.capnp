# What nodes tell each other in datagrams.
@0xd1f0a6b3c2e84b97;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("spokesail::rpc");

struct Place {
  name @0 :Text;
  running @1 :UInt32;
  unreadTokens @2 :Float32;
}

# Sent to all peers at a bounded rate.
struct Gossip {
  # What the sender has in flight.
  places @0 :List(Place);
  # Servers that the sender thinks do not answer.
  suspects @1 :List(Text);
  # The lease of the group controller, if the sender holds it.
  leaseVersion @2 :Int64;
  leaseRecord @3 :Text;
  # Whether the sender has had requests.
  requestsSeen @4 :Bool;
  # Servers that the holder of the lease found not to answer.
  silent @5 :List(Text);
}

# Asks a relay for what has changed in the store.
struct NewsRequest {
  # Given back with the answer, so that its age counts from the request.
  nonce @0 :UInt64;
  # Up to where the sender knows the servers.
  serversRevision @1 :Int64;
}

struct ServerNews {
  id @0 :Text;
  revision @1 :Int64;
  gone @2 :Bool;
  # Time until the server counts as gone; 0 while its entry stands.
  lapsesInMs @3 :UInt32;
  service @4 :Text;
  address @5 :Text;
  hall @6 :Text;
  domain @7 :Text;
  slots @8 :UInt32;
  draining @9 :Bool;
  staged @10 :List(Text);
  group @11 :Text;
  epoch @12 :Int64;
  rank @13 :UInt32;
  phase @14 :UInt8;
}

struct News {
  # 0 if nobody asked.
  nonce @0 :UInt64;
  configRevision @1 :Int64;
  # Age of the sender's proof that this configuration is in force.
  configAgeMs @2 :UInt32;
  # The news hold all changes after the first revision up to the second.
  fromRevision @3 :Int64;
  toRevision @4 :Int64;
  servers @5 :List(ServerNews);
  storeReachable @6 :Bool;
}

struct NodeMessage {
  node @0 :Text;
  hall @1 :Text;
  # Chosen at random at each start.
  boot @2 :UInt64;
  # Grows with each message of a start.
  sequence @3 :UInt64;
  union {
    gossip @4 :Gossip;
    newsRequest @5 :NewsRequest;
    news @6 :News;
  }
}
