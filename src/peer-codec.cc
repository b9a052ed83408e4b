#include "peer-codec.h"

#include <algorithm>

namespace spokesail {
namespace {

using text_list = capnp::List<capnp::Text>;

unsigned list_size(size_t size) { return static_cast<unsigned>(size); }

void write_member(rpc::Member::Builder out, const member_info& m) {
  out.setName(m.name);
  out.setHall(m.hall);
  out.setPeerAddress(m.peer_address);
  out.setHttpAddress(m.http_address);
}

member_info read_member(rpc::Member::Reader in) {
  return {in.getName(), in.getHall(), in.getPeerAddress(), in.getHttpAddress()};
}

void write_texts(text_list::Builder out, const std::vector<std::string>& in) {
  for (unsigned i = 0; i < out.size(); i++) out.set(i, in[i]);
}

std::vector<std::string> read_texts(text_list::Reader in) {
  std::vector<std::string> out;
  for (const auto text : in) out.emplace_back(text.cStr());
  return out;
}

void write_host_observation(rpc::HostWord::Builder out,
                            const host_observation& observation) {
  out.setHost(observation.host);
  out.setReachable(observation.reachable);
  out.setAt(absl::ToUnixNanos(observation.at));
  out.setGroup(observation.report.group);
  out.setIncarnation(observation.report.incarnation);
  out.setPhase(static_cast<uint8_t>(observation.report.phase));
  out.setModel(observation.report.model);
  out.setVersion(observation.report.version);
  const auto& adapters = observation.report.adapters;
  write_texts(out.initAdapters(list_size(adapters.size())), adapters);
  out.setFence(observation.report.fence);
  out.setBoot(observation.report.boot);
}

host_observation read_host_observation(rpc::HostWord::Reader in) {
  host_observation observation;
  observation.host = in.getHost();
  observation.reachable = in.getReachable();
  observation.at = absl::FromUnixNanos(in.getAt());
  observation.report.group = in.getGroup();
  observation.report.incarnation = in.getIncarnation();
  const int phase =
      std::min<int>(in.getPhase(), static_cast<int>(host_phase::ready));
  observation.report.phase = static_cast<host_phase>(phase);
  observation.report.model = in.getModel();
  observation.report.version = in.getVersion();
  observation.report.adapters = read_texts(in.getAdapters());
  observation.report.fence = in.getFence();
  observation.report.boot = in.getBoot();
  return observation;
}

}  // namespace

void write_heartbeat(rpc::Beat::Builder out, const heartbeat& b) {
  write_member(out.initFrom(), b.from);
  out.setBoot(b.boot);
  out.setSequence(b.sequence);
  out.setSent(absl::ToUnixNanos(b.sent));
  out.setRevision(b.revision);
  out.setViewDigest(b.view_digest);
  out.setReady(b.ready);
  out.setStopping(b.stopping);
  out.setWordsEpoch(b.observations_epoch);
  out.setProbedAt(absl::ToUnixNanos(b.probed_at));
  out.setHasWords(b.has_observations);
  auto observations = out.initWords(list_size(b.observations.size()));
  for (unsigned i = 0; i < observations.size(); i++)
    write_host_observation(observations[i], b.observations[i]);
  auto loads = out.initLoads(list_size(b.loads.size()));
  for (unsigned i = 0; i < loads.size(); i++) {
    loads[i].setHost(b.loads[i].host);
    loads[i].setRunning(static_cast<uint32_t>(b.loads[i].load.running));
    loads[i].setQueued(static_cast<uint32_t>(b.loads[i].load.queued));
  }
  write_texts(out.initOpenModels(list_size(b.open_models.size())),
              b.open_models);
}

heartbeat read_heartbeat(rpc::Beat::Reader in) {
  heartbeat b;
  b.from = read_member(in.getFrom());
  b.boot = in.getBoot();
  b.sequence = in.getSequence();
  b.sent = absl::FromUnixNanos(in.getSent());
  b.revision = in.getRevision();
  b.view_digest = in.getViewDigest();
  b.ready = in.getReady();
  b.stopping = in.getStopping();
  b.observations_epoch = in.getWordsEpoch();
  b.probed_at = absl::FromUnixNanos(in.getProbedAt());
  b.has_observations = in.getHasWords();
  for (const auto observation : in.getWords())
    b.observations.push_back(read_host_observation(observation));
  for (const auto load : in.getLoads()) {
    b.loads.push_back({load.getHost(),
                       {static_cast<int>(load.getRunning()),
                        static_cast<int>(load.getQueued())}});
  }
  b.open_models = read_texts(in.getOpenModels());
  return b;
}

void write_ack(rpc::BeatAck::Builder out, const heartbeat_ack& ack) {
  write_member(out.initFrom(), ack.from);
  out.setBoot(ack.boot);
  out.setTaken(absl::ToUnixNanos(ack.taken));
  out.setWordsEpoch(ack.observations_epoch);
  out.setRevision(ack.revision);
  out.setReady(ack.ready);
  out.setStopping(ack.stopping);
  write_texts(out.initOpenModels(list_size(ack.open_models.size())),
              ack.open_models);
}

heartbeat_ack read_ack(rpc::BeatAck::Reader in) {
  heartbeat_ack ack;
  ack.from = read_member(in.getFrom());
  ack.boot = in.getBoot();
  ack.taken = absl::FromUnixNanos(in.getTaken());
  ack.observations_epoch = in.getWordsEpoch();
  ack.revision = in.getRevision();
  ack.ready = in.getReady();
  ack.stopping = in.getStopping();
  ack.open_models = read_texts(in.getOpenModels());
  return ack;
}

void write_objects(capnp::List<rpc::Object>::Builder out,
                   const std::vector<object>& objects) {
  for (unsigned i = 0; i < out.size(); i++) {
    out[i].setKind(objects[i].key.kind);
    out[i].setName(objects[i].key.name);
    out[i].setVersion(objects[i].version);
    out[i].setBody(objects[i].body);
    out[i].setDeleted(objects[i].deleted);
  }
}

std::vector<object> read_objects(capnp::List<rpc::Object>::Reader in) {
  std::vector<object> out;
  for (const auto o : in) {
    out.push_back({{o.getKind(), o.getName()},
                   o.getVersion(),
                   o.getBody(),
                   o.getDeleted()});
  }
  return out;
}

void write_stamps(capnp::List<rpc::Stamp>::Builder out,
                  const std::vector<object_stamp>& stamps) {
  for (unsigned i = 0; i < out.size(); i++) {
    out[i].setKind(stamps[i].key.kind);
    out[i].setName(stamps[i].key.name);
    out[i].setVersion(stamps[i].version);
  }
}

std::vector<object_stamp> read_stamps(capnp::List<rpc::Stamp>::Reader in) {
  std::vector<object_stamp> out;
  for (const auto stamp : in) {
    out.push_back({{stamp.getKind(), stamp.getName()}, stamp.getVersion()});
  }
  return out;
}

}  // namespace spokesail
