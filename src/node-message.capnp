# What nodes tell each other in datagrams.
@0xd1f0a6b3c2e84b97;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("spokesail::rpc");

struct Place {
  name @0 :Text;
  running @1 :UInt32;
  unreadTokens @2 :Float32;
}

# How fast a group answers, as the sender has seen it of late.
struct Speed {
  place @0 :Text;
  # Times that first events took against what the engine's figures predict.
  slowness @1 :Float32;
  # First events that it is from.
  samples @2 :UInt32;
}

# What callers ask of one model, a second.
struct Demand {
  service @0 :Text;
  model @1 :Text;
  requests @2 :Float32;
  promptTokens @3 :Float32;
  answerTokens @4 :Float32;
  # Requests that found no room.
  refused @5 :Float32;
}

# What the holder of the controller's lease says.
struct HolderWord {
  leaseVersion @0 :Int64;
  leaseRecord @1 :Text;
  # Grows with each word of a holder under one version of the lease.
  sequence @2 :UInt64;
  # Servers that the holder found not to answer.
  silent @3 :List(Text);
  # Loads of weights that it began within its window.
  loadsBegun @4 :UInt32;
  # The division of hosts among models, where it is not as stated.
  shares @5 :List(ModelShare);
}

# A model's part of the hosts of its service.
struct ModelShare {
  service @0 :Text;
  model @1 :Text;
  share @2 :Float64;
}

# Sent to peers at a bounded rate.
struct Gossip {
  # What the sender, or its whole data hall, has in flight.
  places @0 :List(Place);
  # Set by the holder of the lease.
  holder @1 :HolderWord;
  # Whether the sender has had requests.
  requestsSeen @2 :Bool;
  # Set if the places are those of the sender's whole data hall: the nodes that
  # live there, and the first of them.
  hallNodes @3 :UInt32;
  hallFirsts @4 :List(Text);
  # What the sender has seen of groups.
  speeds @5 :List(Speed);
  # What callers asked of the sender, or of its whole data hall.
  demand @6 :List(Demand);
}

# Asks a relay for what has changed in the store.
struct NewsRequest {
  # Given back with the answer, so that its age counts from the request.
  nonce @0 :UInt64;
  # Up to where the sender knows the servers.
  serversRevision @1 :Int64;
  # After which revision it was told of changes that do not follow on those; 0
  # if of none.
  serversToldAfter @2 :Int64;
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
  # Tells the starts of one id apart; 0 if it is not known.
  incarnation @15 :Int64;
  # Time until the server is warm; 0 if it is.
  coldForMs @16 :UInt32;
}

# The data halls whose servers are to get no requests.
struct Evacuations {
  # The store's revision as of which this holds.
  revision @0 :Int64;
  # Age of the sender's proof that it still holds.
  ageMs @1 :UInt32;
  halls @2 :List(Text);
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
  # The word of the lease's holder, as the sender last heard it.
  holder @7 :HolderWord;
  # What other halls have in flight, and the nodes that live there.
  farPlaces @8 :List(Place);
  farNodes @9 :UInt32;
  requestsSeen @10 :Bool;
  # Whether the sender knows all servers and these are the last of them.
  allServers @11 :Bool;
  # Age of the sender's proof that it knows all changes of servers; 0 if it does
  # not say.
  serversAgeMs @12 :UInt32;
  # Set if the sender follows evacuations and has read them.
  evacuations @13 :Evacuations;
}

# Tells the holder of the lease, or the nodes of the hall, of servers that do
# not answer.
struct Suspicion {
  servers @0 :List(Text);
  # The group that lost the servers; empty if it is not known.
  group @1 :Text;
}

# Servers that ended under one request.
struct CrashEvidence {
  # The request: its workspace and its content, as hashes.
  workspace @0 :UInt64;
  content @1 :UInt64;
  # How far any run of it came.
  passed @2 :Int64;
  # Time since the last of them ended.
  ageMs @3 :UInt32;
  crashes @4 :List(Crash);

  struct Crash {
    # Hash of one start of a server.
    server @0 :UInt64;
    # How far the request had come.
    point @1 :Int64;
    # Whether the server had begun to answer.
    begun @2 :Bool;
    # Whether the request was sent there after a server had ended under it.
    repeated @3 :Bool;
  }
}

# Which requests crash the servers that run them.
struct CrashReport {
  evidence @0 :List(CrashEvidence);
  # Hash of all that the sender holds for proved.
  digest @1 :UInt64;
  # Whether the receiver is to answer if its own digest is another.
  asks @2 :Bool;
}

# The state of a server's request rate limit, which applies across all nodes.
struct LimitReport {
  server @0 :Text;
  # Distinguishes restarts under the same id; 0 if unknown.
  incarnation @1 :Int64;
  # Whether the server advertises a limit, and the limit in requests per second.
  limited @2 :Bool;
  perS @3 :Float64;
  # Time since the answer that set or ended the limit.
  ageMs @4 :UInt32;
}

# Asks the holder of the lease for requests that may be sent to servers that are
# cold or advertise a rate limit.
struct ColdRequest {
  # Given back with the answer, so that its time counts from the question.
  nonce @0 :UInt64;
  # Servers, and how many requests are wanted for each.
  wanted @1 :List(ServerCount);
  # The sender's state of these servers' rate limits.
  limits @2 :List(LimitReport);
}

# Grants requests to servers that are cold or advertise a rate limit.
struct ColdGrant {
  nonce @0 :UInt64;
  granted @1 :List(ServerCount);
  # Limits for which the sender's state is newer than the asker's.
  limits @2 :List(LimitReport);
}

# Reports rate limits that have changed or ended.
struct LimitNews {
  reports @0 :List(LimitReport);
}

struct ServerCount {
  server @0 :Text;
  # Tells the starts of one id apart.
  incarnation @1 :Int64;
  count @2 :UInt32;
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
    suspicion @7 :Suspicion;
    crashReport @9 :CrashReport;
    coldRequest @10 :ColdRequest;
    coldGrant @11 :ColdGrant;
    limitNews @12 :LimitNews;
  }
  # The sender's part of a processor core.
  cores @8 :Float32;
}
