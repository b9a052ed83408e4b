# Datagrams between nodes.
@0xd1f0a6b3c2e84b97;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("spokesail::rpc");

# The load of an endpoint: a group, by its name, or a plain server, by its id.
struct Place {
  name @0 :Text;
  running @1 :UInt32;
  # Pending prefill tokens: prompt tokens of the requests that have not yet had
  # their first event.
  unreadTokens @2 :Float32;
}

# How slow an endpoint is, by the recent requests of the sender.
struct Speed {
  place @0 :Text;
  # Factor by which it is slower than other endpoints of its kind: the time to
  # the first event, relative to the prediction from the engine's profile,
  # raised by failures.
  slowness @1 :Float32;
  # Number of requests that this is computed from; older ones count for less.
  samples @2 :UInt32;
}

# Callers' demand for one model. All figures are per second.
struct Demand {
  service @0 :Text;
  model @1 :Text;
  requests @2 :Float32;
  promptTokens @3 :Float32;
  answerTokens @4 :Float32;
  # Requests that were refused for lack of capacity.
  refused @5 :Float32;
}

# State of the lease holder. Nodes relay it to each other.
struct HolderWord {
  leaseVersion @0 :Int64;
  leaseRecord @1 :Text;
  # Grows with each change of the state under one version of the lease.
  sequence @2 :UInt64;
  # Servers that the holder found unresponsive.
  silent @3 :List(Text);
  # Loads of weights that the holder began within the last `load_window_s`.
  loadsBegun @4 :UInt32;
  # The shares of models whose allocation differs from the configured one.
  shares @5 :List(ModelShare);
  # `silent` holds this part of the servers, counted from 0.
  part @6 :UInt32;
  # Number of parts; 0 if `silent` is left out.
  parts @7 :UInt32 = 1;
}

# A model's share of the hosts of its service.
struct ModelShare {
  service @0 :Text;
  model @1 :Text;
  share @2 :Float64;
}

# Load, speeds and demand; sent to peers at a bounded rate.
struct Gossip {
  # Requests in flight of the sender, or of its whole data hall.
  places @0 :List(Place);
  # Set by the holder of the lease.
  holder @1 :HolderWord;
  # Whether the sender has received requests.
  requestsSeen @2 :Bool;
  # Set if `places` covers the sender's whole data hall: the number of live
  # nodes in it, and its top-ranked nodes, to which other halls send their
  # gossip.
  hallNodes @3 :UInt32;
  hallFirsts @4 :List(Text);
  # Speeds of endpoints, measured by the sender.
  speeds @5 :List(Speed);
  # Demand of the sender's callers, or of those of its whole data hall.
  demand @6 :List(Demand);
  # Whether the sender may have lost its links to the servers, so that it is
  # hardly a proxy for others.
  serversUnreachable @7 :Bool;
}

# Requests the changes of the store from a relay.
struct NewsRequest {
  # Repeated in the response, so that the ages in it are counted from the time
  # of the request.
  nonce @0 :UInt64;
  # Revision up to which the sender has all changes of servers.
  serversRevision @1 :Int64;
  # If the sender received changes that it could not apply because earlier ones
  # are missing: the revision after which they start. 0 if it received none.
  serversToldAfter @2 :Int64;
  # The state of the lease holder that the sender has; 0 if none.
  holderLeaseVersion @3 :Int64;
  holderSequence @4 :UInt64;
}

# One change of a server.
struct ServerNews {
  id @0 :Text;
  revision @1 :Int64;
  gone @2 :Bool;
  # Time until the server is removed, if its entry is missing; 0 while the entry
  # exists.
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
  # Distinguishes restarts under the same id; 0 if unknown.
  incarnation @15 :Int64;
  # Time until the server is warm; 0 if it is warm.
  coldForMs @16 :UInt32;
}

# The data halls whose servers must not receive requests.
struct Evacuations {
  # Revision of the store that the list was read at.
  revision @0 :Int64;
  # Time since the sender last verified that the list is current.
  ageMs @1 :UInt32;
  halls @2 :List(Text);
}

# An update of the store's state, sent by a relay on request or unasked.
struct News {
  # Nonce of the request; 0 if the update was not requested.
  nonce @0 :UInt64;
  configRevision @1 :Int64;
  # Time since the sender last verified that this configuration is in force.
  configAgeMs @2 :UInt32;
  # `servers` holds all changes after the first revision up to the second.
  fromRevision @3 :Int64;
  toRevision @4 :Int64;
  servers @5 :List(ServerNews);
  storeReachable @6 :Bool;
  # The latest state of the lease holder that the sender has received.
  holder @7 :HolderWord;
  # Requests in flight of the other data halls, and the number of live nodes in
  # them.
  farPlaces @8 :List(Place);
  farNodes @9 :UInt32;
  requestsSeen @10 :Bool;
  # Whether the sender has the full list of servers and this message completes
  # it.
  allServers @11 :Bool;
  # Time since the sender last verified that it has all changes of servers; 0 if
  # its version does not send this field.
  serversAgeMs @12 :UInt32;
  # Set once the sender has read the evacuations, if it watches them.
  evacuations @13 :Evacuations;
  # Data halls from which nothing is received any more, and the time since that
  # was found; the largest age if the sender does not know.
  silentHalls @14 :List(Text);
  silentHallsAgeMs @15 :UInt32 = 4294967295;
  # The sender knows all removals of servers after this revision.
  removalsSince @16 :Int64;
  # Set if `servers` holds all servers in a range of ids instead of changes.
  # `fromRevision` is then 0, and `toRevision` is 0 except in the last of the
  # ranges that were sent together.
  serverRange @17 :ServerRange;
}

# The ids from `first` on that precede `end`, and the revision as of which the
# servers in this range are listed. An empty `end` is no limit.
struct ServerRange {
  first @0 :Text;
  end @1 :Text;
  revision @2 :Int64;
}

# Reports unresponsive servers to the lease holder or to the nodes of the data
# hall.
struct Suspicion {
  servers @0 :List(Text);
  # The group that the servers are members of; empty if unknown.
  group @1 :Text;
}

# A property of requests that may be the reason why servers crash.
struct RequestTrait {
  # Hashes of what the trait is compared within, and of the trait itself.
  scope @0 :UInt64;
  value @1 :UInt64;
  # 0 for the whole content, 1 for a part of the prompt.
  kind @2 :UInt8;
}

# Crashes of servers that happened while they ran requests with one trait.
struct CrashEvidence {
  # The trait, see RequestTrait.
  scope @0 :UInt64;
  value @1 :UInt64;
  # Of a content, the furthest point that any run of the request has reached,
  # counted as `point` below; the largest Int64 if a run was completed. Crashes
  # before this point are not due to the request, since a run got past it.
  passed @2 :Int64;
  # Time since the latest of the crashes and refutations.
  ageMs @3 :UInt32;
  crashes @4 :List(Crash);
  kind @5 :UInt8;

  struct Crash {
    # Hash of the server instance, that is of its id and incarnation.
    server @0 :UInt64;
    # Last event of the response that had been relayed before the crash; -1 if
    # none had.
    point @1 :Int64;
    # Whether the server had begun to respond to the request.
    begun @2 :Bool;
    # Whether this was an attempt after another server had crashed under the
    # trait.
    repeated @3 :Bool;
    # Whether a request with the trait has got past this point since.
    refuted @4 :Bool;
  }
}

# Asks for a trial of a suspected trait, or reports that one has ended.
struct TrialRequest {
  trait @0 :RequestTrait;
  # Identifies the trial.
  nonce @1 :UInt64;
  ended @2 :Bool;
  # What the sender knows of the trait; one entry at most.
  evidence @3 :List(CrashEvidence);
}

# Response to a TrialRequest that asks for a trial.
struct TrialResponse {
  trait @0 :RequestTrait;
  nonce @1 :UInt64;
  granted @2 :Bool;
  # What the sender knows of the trait; one entry at most.
  evidence @3 :List(CrashEvidence);
}

# Reports traits of requests that may crash the servers that run them.
struct CrashReport {
  evidence @0 :List(CrashEvidence);
  # Hash of the traits that the sender has found to crash servers.
  digest @1 :UInt64;
  # Whether the receiver should reply if its own digest differs.
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
  # Time since the response that set or ended the limit.
  ageMs @4 :UInt32;
}

# Requests grants from the lease holder, for servers that are cold or advertise
# a rate limit.
struct ColdRequest {
  # Repeated in the response, so that the lifetime of the grant is counted from
  # the time of the request.
  nonce @0 :UInt64;
  # Servers, and the number of requests wanted for each.
  wanted @1 :List(ServerCount);
  # The sender's state of these servers' rate limits.
  limits @2 :List(LimitReport);
}

# Grants requests to servers that are cold or advertise a rate limit.
struct ColdGrant {
  nonce @0 :UInt64;
  granted @1 :List(ServerCount);
  # Limits for which the sender's state is newer than the requester's.
  limits @2 :List(LimitReport);
}

# Reports rate limits that have changed or ended.
struct LimitNews {
  reports @0 :List(LimitReport);
}

# One start of a server.
struct ServerInstance {
  server @0 :Text;
  # Distinguishes restarts under the same id; 0 if unknown.
  incarnation @1 :Int64;
}

# Reports servers that have announced their end.
struct Departures {
  servers @0 :List(ServerInstance);
}

# A number of requests to one server instance.
struct ServerCount {
  server @0 :Text;
  # Distinguishes restarts under the same id; 0 if unknown.
  incarnation @1 :Int64;
  count @2 :UInt32;
}

# Identifies the nodes that the sender knows in one data hall.
struct HallDigest {
  hall @0 :Text;
  digest @1 :UInt64;
  # Time since a node of the hall reported it; the largest for the sender's own
  # hall.
  ageMs @2 :UInt32;
}

# Asks a node which other nodes it knows.
struct PeerQuery {
  nonce @0 :UInt64;
  # Whether a few nodes of each hall are enough.
  sample @1 :Bool;
  known @2 :List(HallDigest);
}

# Nodes of one data hall.
struct HallReport {
  hall @0 :Text;
  # Time since a node of the hall knew them to be alive.
  ageMs @1 :UInt32;
  # Whether the asker knows the same nodes.
  unchanged @2 :Bool;
  nodes @3 :List(Peer);

  struct Peer {
    name @0 :Text;
    address @1 :Text;
    cores @2 :Float32;
  }
}

# Response to a PeerQuery, or a part of one.
struct PeerReport {
  nonce @0 :UInt64;
  # Whether the sender has run for long enough to know its hall.
  settled @1 :Bool;
  sample @2 :Bool;
  halls @3 :List(HallReport);
}

# One datagram.
struct NodeMessage {
  node @0 :Text;
  hall @1 :Text;
  # Random number chosen at each start of the sender.
  boot @2 :UInt64;
  # Grows with each message; begins anew at each start of the sender.
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
    peerQuery @13 :PeerQuery;
    peerReport @14 :PeerReport;
    holderPart @15 :HolderWord;
    departures @16 :Departures;
    trialRequest @17 :TrialRequest;
    trialResponse @18 :TrialResponse;
  }
  # Processor cores that the sender may use; below 1 for a part of one.
  cores @8 :Float32;
}
