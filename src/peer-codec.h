// Converts between the reducer's types and Cap'n Proto messages.
#pragma once

#include <vector>

#include "generated/peer.capnp.h"
#include "spokesail/event.h"

namespace spokesail {

void write_heartbeat(rpc::Beat::Builder out, const heartbeat& b);
heartbeat read_heartbeat(rpc::Beat::Reader in);
void write_ack(rpc::BeatAck::Builder out, const heartbeat_ack& ack);
heartbeat_ack read_ack(rpc::BeatAck::Reader in);
void write_objects(capnp::List<rpc::Object>::Builder out,
                   const std::vector<object>& objects);
std::vector<object> read_objects(capnp::List<rpc::Object>::Reader in);
void write_stamps(capnp::List<rpc::Stamp>::Builder out,
                  const std::vector<object_stamp>& stamps);
std::vector<object_stamp> read_stamps(capnp::List<rpc::Stamp>::Reader in);

}  // namespace spokesail
