// Encodes and decodes the messages between nodes as Cap'n Proto datagrams.
#include "node-message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <limits>

#include "generated/node-message.capnp.h"

namespace spokesail {
namespace {

/// Traversal limit for a received message, in Cap'n Proto words.
constexpr uint64_t max_traversal_words = 1 << 17;

/// Converts to whole milliseconds, clamped to the range of uint32_t.
uint32_t to_ms(absl::Duration time) {
  constexpr int64_t max_ms = std::numeric_limits<uint32_t>::max();
  return static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(time), 0, max_ms));
}

/// The reverse of `to_ms`, for ages of which the largest stands for any longer
/// one.
absl::Duration read_age(uint32_t ms) {
  const bool unknown = ms == std::numeric_limits<uint32_t>::max();
  return unknown ? absl::InfiniteDuration() : absl::Milliseconds(ms);
}

template <typename List>
void write_texts(List list, const std::vector<std::string>& texts) {
  for (size_t i = 0; i < texts.size(); ++i) list.set(i, texts[i]);
}

template <typename List>
std::vector<std::string> read_texts(List list) {
  std::vector<std::string> out;
  for (const auto text : list) out.emplace_back(text.cStr());
  return out;
}

template <typename List>
void write_places(List out, const std::vector<endpoint_load>& loads) {
  for (size_t i = 0; i < loads.size(); ++i) {
    out[i].setName(loads[i].endpoint);
    out[i].setRunning(loads[i].running);
    out[i].setUnreadTokens(static_cast<float>(loads[i].pending_prefill_tokens));
  }
}

template <typename List>
std::vector<endpoint_load> read_places(List list) {
  std::vector<endpoint_load> out;
  for (const auto endpoint : list) {
    out.push_back({endpoint.getName().cStr(),
                   static_cast<int>(endpoint.getRunning()),
                   endpoint.getUnreadTokens()});
  }
  return out;
}

template <typename List>
void write_speeds(List out, const std::vector<endpoint_speed>& speeds) {
  for (size_t i = 0; i < speeds.size(); ++i) {
    out[i].setPlace(speeds[i].endpoint);
    out[i].setSlowness(static_cast<float>(speeds[i].slowness));
    out[i].setSamples(speeds[i].samples);
  }
}

template <typename List>
std::vector<endpoint_speed> read_speeds(List list) {
  std::vector<endpoint_speed> out;
  for (const auto speed : list) {
    out.push_back({speed.getPlace().cStr(), speed.getSlowness(),
                   static_cast<int>(speed.getSamples())});
  }
  return out;
}

template <typename List>
void write_demand(List out, const std::vector<model_demand>& demand) {
  for (size_t i = 0; i < demand.size(); ++i) {
    out[i].setService(demand[i].service);
    out[i].setModel(demand[i].model);
    out[i].setRequests(static_cast<float>(demand[i].requests));
    out[i].setPromptTokens(static_cast<float>(demand[i].prompt_tokens));
    out[i].setAnswerTokens(static_cast<float>(demand[i].answer_tokens));
    out[i].setRefused(static_cast<float>(demand[i].refused));
  }
}

template <typename List>
std::vector<model_demand> read_demand(List list) {
  std::vector<model_demand> out;
  for (const auto item : list) {
    out.push_back({item.getService().cStr(), item.getModel().cStr(),
                   item.getRequests(), item.getPromptTokens(),
                   item.getAnswerTokens(), item.getRefused()});
  }
  return out;
}

template <typename List>
void write_counts(List out, const std::vector<server_request_count>& counts) {
  for (size_t i = 0; i < counts.size(); ++i) {
    out[i].setServer(counts[i].server);
    out[i].setIncarnation(counts[i].incarnation);
    out[i].setCount(counts[i].count);
  }
}

template <typename List>
std::vector<server_request_count> read_counts(List list) {
  std::vector<server_request_count> out;
  for (const auto item : list) {
    out.push_back({item.getServer().cStr(), item.getIncarnation(),
                   static_cast<int>(item.getCount())});
  }
  return out;
}

template <typename List>
void write_limits(List out, const std::vector<limit_report>& limits) {
  for (size_t i = 0; i < limits.size(); ++i) {
    out[i].setServer(limits[i].server.server);
    out[i].setIncarnation(limits[i].server.incarnation);
    out[i].setLimited(limits[i].per_s.has_value());
    out[i].setPerS(limits[i].per_s.value_or(0));
    out[i].setAgeMs(to_ms(limits[i].age));
  }
}

template <typename List>
std::vector<limit_report> read_limits(List list) {
  std::vector<limit_report> out;
  for (const auto item : list) {
    limit_report report;
    report.server = {item.getServer().cStr(), item.getIncarnation()};
    if (item.getLimited()) report.per_s = item.getPerS();
    report.age = absl::Milliseconds(item.getAgeMs());
    out.push_back(std::move(report));
  }
  return out;
}

void write_evacuations(rpc::Evacuations::Builder out,
                       const evacuation_snapshot& evacuations) {
  out.setRevision(evacuations.revision);
  out.setAgeMs(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(evacuations.age)));
  write_texts(out.initHalls(evacuations.halls.size()),
              {evacuations.halls.begin(), evacuations.halls.end()});
}

evacuation_snapshot read_evacuations(rpc::Evacuations::Reader in) {
  evacuation_snapshot out;
  out.revision = in.getRevision();
  out.age = absl::Milliseconds(in.getAgeMs());
  for (const auto hall : in.getHalls()) out.halls.insert(hall.cStr());
  return out;
}

void write_holder(rpc::HolderWord::Builder out, const holder_part& p) {
  const holder_state& h = p.state;
  out.setPart(p.part);
  out.setParts(p.parts);
  out.setLeaseVersion(h.lease.version);
  out.setLeaseRecord(h.lease.record);
  out.setSequence(h.sequence);
  write_texts(out.initSilent(h.unresponsive.size()), h.unresponsive);
  out.setLoadsBegun(h.loads_begun);
  auto shares = out.initShares(h.shares.size());
  for (size_t i = 0; i < h.shares.size(); ++i) {
    shares[i].setService(h.shares[i].service);
    shares[i].setModel(h.shares[i].model);
    shares[i].setShare(h.shares[i].share);
  }
}

holder_part read_holder(rpc::HolderWord::Reader in) {
  holder_part part;
  part.part = static_cast<int>(in.getPart());
  part.parts = static_cast<int>(in.getParts());
  holder_state& out = part.state;
  out.lease = {in.getLeaseVersion(), in.getLeaseRecord().cStr()};
  out.sequence = in.getSequence();
  out.unresponsive = read_texts(in.getSilent());
  out.loads_begun = static_cast<int>(in.getLoadsBegun());
  for (const auto share : in.getShares()) {
    out.shares.push_back(
        {share.getService().cStr(), share.getModel().cStr(), share.getShare()});
  }
  return part;
}

void write_gossip(rpc::Gossip::Builder out, const gossip& g) {
  write_places(out.initPlaces(g.places.size()), g.places);
  if (g.holder) write_holder(out.initHolder(), *g.holder);
  out.setRequestsSeen(g.requests_seen);
  out.setServersUnreachable(g.servers_unreachable);
  out.setHallNodes(g.hall_nodes);
  write_texts(out.initHallFirsts(g.hall_contacts.size()), g.hall_contacts);
  write_speeds(out.initSpeeds(g.speeds.size()), g.speeds);
  write_demand(out.initDemand(g.demand.size()), g.demand);
}

gossip read_gossip(rpc::Gossip::Reader in) {
  gossip out;
  out.places = read_places(in.getPlaces());
  if (in.hasHolder()) out.holder = read_holder(in.getHolder());
  out.requests_seen = in.getRequestsSeen();
  out.servers_unreachable = in.getServersUnreachable();
  out.hall_nodes = static_cast<int>(in.getHallNodes());
  out.hall_contacts = read_texts(in.getHallFirsts());
  out.speeds = read_speeds(in.getSpeeds());
  out.demand = read_demand(in.getDemand());
  return out;
}

void write_server(rpc::ServerNews::Builder out, const server_change& s) {
  const server_entry& entry = s.server.entry;
  out.setId(entry.id);
  out.setRevision(s.server.revision);
  out.setGone(s.gone);
  out.setLapsesInMs(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(s.expires_in)));
  out.setService(entry.service);
  out.setAddress(entry.address);
  out.setHall(entry.hall);
  out.setDomain(entry.domain);
  out.setSlots(entry.slots);
  out.setDraining(entry.draining);
  write_texts(out.initStaged(entry.staged.size()), entry.staged);
  out.setGroup(entry.membership.group);
  out.setEpoch(entry.membership.epoch);
  out.setRank(entry.membership.rank);
  out.setPhase(static_cast<uint8_t>(entry.membership.phase));
  out.setIncarnation(entry.incarnation);
  out.setColdForMs(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(s.cold_remaining)));
}

member_phase read_phase(uint8_t phase) {
  const bool known = phase <= static_cast<uint8_t>(member_phase::broken);
  return known ? static_cast<member_phase>(phase) : member_phase::none;
}

server_change read_server(rpc::ServerNews::Reader in) {
  server_change out;
  server_entry& entry = out.server.entry;
  entry.id = in.getId().cStr();
  out.server.revision = in.getRevision();
  out.gone = in.getGone();
  out.expires_in = absl::Milliseconds(in.getLapsesInMs());
  entry.service = in.getService().cStr();
  entry.address = in.getAddress().cStr();
  entry.hall = in.getHall().cStr();
  entry.domain = in.getDomain().cStr();
  entry.slots = static_cast<int>(in.getSlots());
  entry.draining = in.getDraining();
  entry.staged = read_texts(in.getStaged());
  entry.membership.group = in.getGroup().cStr();
  entry.membership.epoch = in.getEpoch();
  entry.membership.rank = static_cast<int>(in.getRank());
  entry.membership.phase = read_phase(in.getPhase());
  entry.incarnation = in.getIncarnation();
  out.cold_remaining = absl::Milliseconds(in.getColdForMs());
  return out;
}

void write_batch(rpc::News::Builder out, const server_change_batch& batch) {
  out.setFromRevision(batch.from_revision);
  out.setToRevision(batch.to_revision);
  out.setRemovalsSince(batch.removals_since);
  if (batch.range) {
    auto range = out.initServerRange();
    range.setFirst(batch.range->ids.first);
    range.setEnd(batch.range->ids.end);
    range.setRevision(batch.range->revision);
  }
  auto servers = out.initServers(batch.changes.size());
  for (size_t i = 0; i < batch.changes.size(); ++i) {
    write_server(servers[i], batch.changes[i]);
  }
}

server_change_batch read_batch(rpc::News::Reader in) {
  server_change_batch out;
  out.from_revision = in.getFromRevision();
  out.to_revision = in.getToRevision();
  out.removals_since = in.getRemovalsSince();
  if (in.hasServerRange()) {
    const auto range = in.getServerRange();
    out.range = server_range{{range.getFirst().cStr(), range.getEnd().cStr()},
                             range.getRevision()};
  }
  for (const auto server : in.getServers()) {
    out.changes.push_back(read_server(server));
  }
  return out;
}

void write_store_update(rpc::News::Builder out, const store_update& n) {
  out.setNonce(n.nonce);
  out.setConfigRevision(n.config_revision);
  out.setConfigAgeMs(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(n.config_age)));
  out.setServersAgeMs(
      static_cast<uint32_t>(absl::ToInt64Milliseconds(n.servers_age)));
  out.setStoreReachable(n.store_reachable);
  write_batch(out, n.servers);
  if (n.holder) write_holder(out.initHolder(), *n.holder);
  write_places(out.initFarPlaces(n.remote_places.size()), n.remote_places);
  out.setFarNodes(n.remote_nodes);
  out.setRequestsSeen(n.requests_seen);
  out.setAllServers(n.all_servers);
  write_texts(out.initSilentHalls(n.silent_halls.size()),
              {n.silent_halls.begin(), n.silent_halls.end()});
  out.setSilentHallsAgeMs(to_ms(n.silent_halls_age));
  if (n.evacuations) {
    write_evacuations(out.initEvacuations(), *n.evacuations);
  }
}

store_update read_store_update(rpc::News::Reader in) {
  store_update out;
  out.nonce = in.getNonce();
  out.config_revision = in.getConfigRevision();
  out.config_age = absl::Milliseconds(in.getConfigAgeMs());
  // A node of an earlier version does not send the age of its servers; it is
  // the age of the configuration.
  const uint32_t servers_age = in.getServersAgeMs();
  out.servers_age =
      servers_age == 0 ? out.config_age : absl::Milliseconds(servers_age);
  out.store_reachable = in.getStoreReachable();
  out.servers = read_batch(in);
  if (in.hasHolder()) out.holder = read_holder(in.getHolder());
  out.remote_places = read_places(in.getFarPlaces());
  out.remote_nodes = static_cast<int>(in.getFarNodes());
  out.requests_seen = in.getRequestsSeen();
  out.all_servers = in.getAllServers();
  for (const auto hall : in.getSilentHalls()) {
    out.silent_halls.insert(hall.cStr());
  }
  out.silent_halls_age = read_age(in.getSilentHallsAgeMs());
  if (in.hasEvacuations()) {
    out.evacuations = read_evacuations(in.getEvacuations());
  }
  return out;
}

void write_trait(rpc::RequestTrait::Builder out, const request_trait& trait) {
  out.setScope(trait.scope);
  out.setValue(trait.value);
  out.setKind(static_cast<uint8_t>(trait.kind));
}

trait_kind read_trait_kind(uint8_t kind) {
  const bool part = kind == static_cast<uint8_t>(trait_kind::prompt_part);
  return part ? trait_kind::prompt_part : trait_kind::content;
}

request_trait read_trait(rpc::RequestTrait::Reader in) {
  return {in.getScope(), in.getValue(), read_trait_kind(in.getKind())};
}

void write_evidence(rpc::CrashEvidence::Builder out,
                    const crash_update& update) {
  out.setScope(update.trait.scope);
  out.setValue(update.trait.value);
  out.setKind(static_cast<uint8_t>(update.trait.kind));
  out.setAgeMs(to_ms(update.age));
  out.setPassed(update.evidence.passed);
  auto crashes = out.initCrashes(update.evidence.crashes.size());
  size_t at = 0;
  for (const auto& [server, crash] : update.evidence.crashes) {
    crashes[at].setServer(server);
    crashes[at].setPoint(crash.point);
    crashes[at].setBegun(crash.begun);
    crashes[at].setRepeated(crash.repeated);
    crashes[at].setRefuted(crash.refuted);
    ++at;
  }
}

crash_update read_evidence(rpc::CrashEvidence::Reader in) {
  crash_update out;
  out.trait = {in.getScope(), in.getValue(), read_trait_kind(in.getKind())};
  out.age = read_age(in.getAgeMs());
  for (const auto crash : in.getCrashes()) {
    const bool refuted =
        crash.getRefuted() || crash.getPoint() < in.getPassed();
    out.evidence.crashes[crash.getServer()] = {
        crash.getPoint(), crash.getBegun(), crash.getRepeated(), refuted};
  }
  return out;
}

std::optional<crash_update> read_update(
    capnp::List<rpc::CrashEvidence>::Reader in) {
  if (in.size() == 0) return std::nullopt;
  return read_evidence(in[0]);
}

void write_trial_request(rpc::TrialRequest::Builder out,
                         const trial_request& r) {
  write_trait(out.initTrait(), r.trait);
  out.setNonce(r.nonce);
  out.setEnded(r.ended);
  if (r.update) write_evidence(out.initEvidence(1)[0], *r.update);
}

trial_request read_trial_request(rpc::TrialRequest::Reader in) {
  return {read_trait(in.getTrait()), in.getNonce(), in.getEnded(),
          read_update(in.getEvidence())};
}

void write_trial_response(rpc::TrialResponse::Builder out,
                          const trial_response& r) {
  write_trait(out.initTrait(), r.trait);
  out.setNonce(r.nonce);
  out.setGranted(r.granted);
  if (r.update) write_evidence(out.initEvidence(1)[0], *r.update);
}

trial_response read_trial_response(rpc::TrialResponse::Reader in) {
  return {read_trait(in.getTrait()), in.getNonce(), in.getGranted(),
          read_update(in.getEvidence())};
}

void write_crashes(rpc::CrashReport::Builder out, const crash_report& r) {
  out.setDigest(r.digest);
  out.setAsks(r.wants_reply);
  auto list = out.initEvidence(r.evidence.size());
  for (size_t i = 0; i < r.evidence.size(); ++i)
    write_evidence(list[i], r.evidence[i]);
}

crash_report read_crashes(rpc::CrashReport::Reader in) {
  crash_report out;
  out.digest = in.getDigest();
  out.wants_reply = in.getAsks();
  for (const auto entry : in.getEvidence())
    out.evidence.push_back(read_evidence(entry));
  return out;
}

void write_query(rpc::PeerQuery::Builder out, const peer_query& q) {
  out.setNonce(q.nonce);
  out.setSample(q.sample);
  auto known = out.initKnown(q.known.size());
  for (size_t i = 0; i < q.known.size(); ++i) {
    known[i].setHall(q.known[i].hall);
    known[i].setDigest(q.known[i].digest);
    known[i].setAgeMs(to_ms(q.known[i].age));
  }
}

peer_query read_query(rpc::PeerQuery::Reader in) {
  peer_query out{in.getNonce(), in.getSample(), {}};
  for (const auto hall : in.getKnown()) {
    out.known.push_back(
        {hall.getHall().cStr(), hall.getDigest(), read_age(hall.getAgeMs())});
  }
  return out;
}

void write_hall(rpc::HallReport::Builder out, const hall_report& h) {
  out.setHall(h.hall);
  out.setAgeMs(to_ms(h.age));
  out.setUnchanged(h.unchanged);
  auto nodes = out.initNodes(h.nodes.size());
  for (size_t i = 0; i < h.nodes.size(); ++i) {
    nodes[i].setName(h.nodes[i].name);
    nodes[i].setAddress(h.nodes[i].address);
    nodes[i].setCores(h.nodes[i].cores);
  }
}

hall_report read_hall(rpc::HallReport::Reader in) {
  hall_report out;
  out.hall = in.getHall().cStr();
  out.age = absl::Milliseconds(in.getAgeMs());
  out.unchanged = in.getUnchanged();
  for (const auto node : in.getNodes()) {
    out.nodes.push_back({node.getName().cStr(), node.getAddress().cStr(),
                         out.hall, node.getCores()});
  }
  return out;
}

void write_report(rpc::PeerReport::Builder out, const peer_report& r) {
  out.setNonce(r.nonce);
  out.setSettled(r.settled);
  out.setSample(r.sample);
  auto halls = out.initHalls(r.halls.size());
  for (size_t i = 0; i < r.halls.size(); ++i) write_hall(halls[i], r.halls[i]);
}

peer_report read_report(rpc::PeerReport::Reader in) {
  peer_report out;
  out.nonce = in.getNonce();
  out.settled = in.getSettled();
  out.sample = in.getSample();
  for (const auto hall : in.getHalls()) out.halls.push_back(read_hall(hall));
  return out;
}

void write_departures(rpc::Departures::Builder out,
                      const departure_update& update) {
  auto servers = out.initServers(update.servers.size());
  for (size_t i = 0; i < update.servers.size(); ++i) {
    servers[i].setServer(update.servers[i].server);
    servers[i].setIncarnation(update.servers[i].incarnation);
  }
}

departure_update read_departures(rpc::Departures::Reader in) {
  departure_update out;
  for (const auto server : in.getServers()) {
    out.servers.push_back({server.getServer().cStr(), server.getIncarnation()});
  }
  return out;
}

}  // namespace

std::string encode(const node_message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<rpc::NodeMessage>();
  root.setNode(message.node);
  root.setHall(message.hall);
  root.setBoot(message.boot);
  root.setSequence(message.sequence);
  root.setCores(message.cores);
  if (const auto* g = std::get_if<gossip>(&message.content)) {
    write_gossip(root.initGossip(), *g);
  } else if (const auto* r =
                 std::get_if<store_update_request>(&message.content)) {
    auto request = root.initNewsRequest();
    request.setNonce(r->nonce);
    request.setServersRevision(r->servers.known);
    request.setServersToldAfter(r->servers.unapplied_after);
    request.setHolderLeaseVersion(r->holder.lease_version);
    request.setHolderSequence(r->holder.sequence);
  } else if (const auto* n = std::get_if<store_update>(&message.content)) {
    write_store_update(root.initNews(), *n);
  } else if (const auto* c = std::get_if<crash_report>(&message.content)) {
    write_crashes(root.initCrashReport(), *c);
  } else if (const auto* w = std::get_if<grant_request>(&message.content)) {
    auto request = root.initColdRequest();
    request.setNonce(w->nonce);
    write_counts(request.initWanted(w->wanted.size()), w->wanted);
    write_limits(request.initLimits(w->limits.size()), w->limits);
  } else if (const auto* a = std::get_if<grant_response>(&message.content)) {
    auto grant = root.initColdGrant();
    grant.setNonce(a->nonce);
    write_counts(grant.initGranted(a->granted.size()), a->granted);
    write_limits(grant.initLimits(a->limits.size()), a->limits);
  } else if (const auto* l = std::get_if<limit_update>(&message.content)) {
    auto store_update = root.initLimitNews();
    write_limits(store_update.initReports(l->reports.size()), l->reports);
  } else if (const auto* q = std::get_if<peer_query>(&message.content)) {
    write_query(root.initPeerQuery(), *q);
  } else if (const auto* p = std::get_if<peer_report>(&message.content)) {
    write_report(root.initPeerReport(), *p);
  } else if (const auto* h = std::get_if<holder_part>(&message.content)) {
    write_holder(root.initHolderPart(), *h);
  } else if (const auto* d = std::get_if<departure_update>(&message.content)) {
    write_departures(root.initDepartures(), *d);
  } else if (const auto* t = std::get_if<trial_request>(&message.content)) {
    write_trial_request(root.initTrialRequest(), *t);
  } else if (const auto* o = std::get_if<trial_response>(&message.content)) {
    write_trial_response(root.initTrialResponse(), *o);
  } else {
    const auto& report = std::get<suspicion>(message.content);
    auto out = root.initSuspicion();
    out.setGroup(report.group);
    write_texts(out.initServers(report.servers.size()), report.servers);
  }
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  return std::string(reinterpret_cast<const char*>(bytes.begin()),
                     bytes.size());
}

std::optional<node_message> decode_message(const char* data, size_t size) {
  std::optional<node_message> out;
  const auto exception = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream in(
        kj::arrayPtr(reinterpret_cast<const kj::byte*>(data), size));
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_traversal_words;
    capnp::PackedMessageReader reader(in, options);
    const auto root = reader.getRoot<rpc::NodeMessage>();
    node_message message;
    message.node = root.getNode().cStr();
    message.hall = root.getHall().cStr();
    message.boot = root.getBoot();
    message.sequence = root.getSequence();
    message.cores = root.getCores();
    if (root.isGossip()) {
      message.content = read_gossip(root.getGossip());
    } else if (root.isNewsRequest()) {
      const auto request = root.getNewsRequest();
      message.content = store_update_request{
          request.getNonce(),
          {request.getServersRevision(), request.getServersToldAfter()},
          {request.getHolderLeaseVersion(), request.getHolderSequence()}};
    } else if (root.isNews()) {
      message.content = read_store_update(root.getNews());
    } else if (root.isSuspicion()) {
      const auto report = root.getSuspicion();
      message.content =
          suspicion{read_texts(report.getServers()), report.getGroup().cStr()};
    } else if (root.isCrashReport()) {
      message.content = read_crashes(root.getCrashReport());
    } else if (root.isColdRequest()) {
      const auto request = root.getColdRequest();
      message.content =
          grant_request{request.getNonce(), read_counts(request.getWanted()),
                        read_limits(request.getLimits())};
    } else if (root.isColdGrant()) {
      const auto grant = root.getColdGrant();
      message.content =
          grant_response{grant.getNonce(), read_counts(grant.getGranted()),
                         read_limits(grant.getLimits())};
    } else if (root.isLimitNews()) {
      message.content =
          limit_update{read_limits(root.getLimitNews().getReports())};
    } else if (root.isPeerQuery()) {
      message.content = read_query(root.getPeerQuery());
    } else if (root.isPeerReport()) {
      message.content = read_report(root.getPeerReport());
    } else if (root.isHolderPart()) {
      message.content = read_holder(root.getHolderPart());
    } else if (root.isDepartures()) {
      message.content = read_departures(root.getDepartures());
    } else if (root.isTrialRequest()) {
      message.content = read_trial_request(root.getTrialRequest());
    } else if (root.isTrialResponse()) {
      message.content = read_trial_response(root.getTrialResponse());
    } else {
      return;
    }
    out = std::move(message);
  });
  if (exception != nullptr) return std::nullopt;
  return out;
}

}  // namespace spokesail
