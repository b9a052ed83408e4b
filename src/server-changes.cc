// Conversion between the directory of servers and the changes sent to peers.
#include "server-changes.h"

#include <algorithm>
#include <set>
#include <string>

namespace spokesail {
namespace {

/// Upper bound of the cold time in one update; a server that stays cold for
/// longer is reported again before it has passed.
constexpr absl::Duration max_cold_time = absl::Hours(24);

/// Upper bound of the encoded size of a change in bytes.
size_t encoded_size(const server_change& item) {
  // The fields of fixed size, pointers to the others, and their padding.
  constexpr size_t fixed_bytes = 136;
  constexpr size_t bytes_per_text = 12;
  const server_entry& entry = item.server.entry;
  size_t size = fixed_bytes + entry.id.size() + entry.service.size() +
                entry.address.size() + entry.hall.size() + entry.domain.size() +
                entry.membership.group.size();
  for (const auto& model : entry.staged) size += bytes_per_text + model.size();
  return size;
}

/// Whether changes exceed the double of the limits, as many removals at a time
/// may do.
bool exceeds_twice(const std::vector<server_change>& changes,
                   const batch_limits& limits) {
  size_t bytes = 0;
  for (const auto& item : changes) bytes += encoded_size(item);
  return changes.size() > 2 * limits.changes || bytes > 2 * limits.bytes;
}

/// Tells when a batch has reached its limits.
class batch_meter {
 public:
  explicit batch_meter(const batch_limits& limits) : limits(limits) {}

  void add(const server_change& item) {
    ++this->changes;
    this->bytes += encoded_size(item);
  }
  bool full() const {
    return this->changes >= this->limits.changes ||
           this->bytes >= this->limits.bytes;
  }

 private:
  batch_limits limits;
  size_t changes = 0;
  size_t bytes = 0;
};

}  // namespace

std::vector<server_change> server_changes_since(
    const server_directory& directory, int64_t from, absl::Time now) {
  std::vector<server_change> out;
  for (const listed_server* server : directory.changed_since(from)) {
    server_change item;
    item.server = *server;
    if (server->expires_at != absl::InfinitePast()) {
      item.expires_in =
          std::max(absl::Milliseconds(1), server->expires_at - now);
    }
    item.cold_remaining = std::clamp(server->cold_until - now,
                                     absl::ZeroDuration(), max_cold_time);
    out.push_back(item);
  }
  for (const auto& [id, revision] : directory.removed_since(from)) {
    server_change item;
    item.server.entry.id = id;
    item.server.revision = revision;
    item.gone = true;
    out.push_back(item);
  }
  return out;
}

std::vector<server_change_batch> split_server_changes(
    std::vector<server_change> changes, const batch_limits& limits,
    int64_t from, int64_t to) {
  // A removal may have happened at any revision up to its own, so that a node
  // needs it whichever of the batches it applies first. So it is with a server
  // that is expiring.
  const auto in_all_batches = [](const server_change& item) {
    return item.gone || item.expires_in > absl::ZeroDuration();
  };
  const auto entries =
      std::stable_partition(changes.begin(), changes.end(), in_all_batches);
  const std::vector<server_change> removals(changes.begin(), entries);
  std::sort(entries, changes.end(), [](const auto& a, const auto& b) {
    return a.server.revision < b.server.revision;
  });
  std::vector<server_change_batch> out(1);
  out.front().from_revision = from;
  out.front().changes = removals;
  batch_meter meter(limits);
  for (auto item = entries; item != changes.end(); ++item) {
    server_change_batch& last = out.back();
    // Entries may be newer than the revision up to which all are known.
    const int64_t end = std::min(to, item->server.revision - 1);
    // Each batch but the last advances the revision, so that a lost one leaves
    // a gap.
    if (meter.full() && end > last.from_revision) {
      last.to_revision = end;
      server_change_batch next;
      next.from_revision = end;
      next.changes = removals;
      out.push_back(std::move(next));
      meter = batch_meter(limits);
    }
    meter.add(*item);
    out.back().changes.push_back(std::move(*item));
  }
  out.back().to_revision = to;
  return out;
}

std::vector<server_change_batch> split_server_list(
    std::vector<server_change> changes, const batch_limits& limits,
    int64_t revision) {
  const auto id_of = [](const server_change& item) -> const std::string& {
    return item.server.entry.id;
  };
  std::stable_sort(
      changes.begin(), changes.end(),
      [&](const auto& a, const auto& b) { return id_of(a) < id_of(b); });
  std::vector<server_change_batch> out(1);
  out.front().range = server_range{{"", ""}, revision};
  batch_meter meter(limits);
  for (auto& item : changes) {
    server_change_batch& last = out.back();
    // A server's removal and its later entry stay together.
    if (meter.full() && id_of(item) != id_of(last.changes.back())) {
      last.range->ids.end = id_of(item);
      server_change_batch next;
      next.range = server_range{{id_of(item), ""}, revision};
      out.push_back(std::move(next));
      meter = batch_meter(limits);
    }
    meter.add(item);
    out.back().changes.push_back(std::move(item));
  }
  out.back().to_revision = revision;
  return out;
}

std::vector<server_change_batch> make_server_batches(
    const server_directory& directory, int64_t from, const batch_limits& limits,
    absl::Time now) {
  const int64_t revision = directory.revision();
  std::vector<server_change_batch> out;
  if (from >= directory.removals_since()) {
    out = split_server_changes(server_changes_since(directory, from, now),
                               limits, from, revision);
  }
  // A list can be split at any server.
  const bool too_large = std::any_of(
      out.begin(), out.end(),
      [&](const auto& batch) { return exceeds_twice(batch.changes, limits); });
  if (out.empty() || too_large) {
    out = split_server_list(server_changes_since(directory, 0, now), limits,
                            revision);
  }
  for (auto& batch : out) batch.removals_since = directory.removals_since();
  return out;
}

bool apply_server_changes(server_directory& directory,
                          const std::vector<server_change>& servers,
                          absl::Time now) {
  bool changed = false;
  for (const auto& item : servers) {
    listed_server server = item.server;
    server.expires_at = absl::InfinitePast();
    const bool cold = item.cold_remaining > absl::ZeroDuration();
    server.cold_until = cold ? now + item.cold_remaining : absl::InfinitePast();
    if (item.gone) {
      changed |= directory.remove(server.entry.id, server.revision,
                                  absl::InfinitePast());
    } else if (item.expires_in > absl::ZeroDuration()) {
      changed |= directory.update(server);
      directory.remove(server.entry.id, server.revision, now + item.expires_in);
    } else {
      changed |= directory.update(server);
    }
  }
  return changed;
}

namespace {

/// The changes of a batch that are not older than the lists received so far.
std::vector<server_change> current_changes(const change_receiver& receiver,
                                           const server_change_batch& batch) {
  std::vector<server_change> out = batch.changes;
  std::erase_if(out, [&](const server_change& item) {
    return receiver.listed_as_of(item.server.entry.id) > batch.as_of();
  });
  return out;
}

/// Removes the servers that a list of a range of ids lacks.
bool remove_missing(server_directory& directory,
                    const server_change_batch& batch) {
  std::set<std::string> listed;
  for (const auto& item : batch.changes) {
    if (!item.gone) listed.insert(item.server.entry.id);
  }
  return directory.remove_missing(batch.range->ids, listed,
                                  batch.range->revision);
}

}  // namespace

batch_result apply_server_batch(server_directory& directory,
                                change_receiver& receiver,
                                const server_change_batch& batch,
                                absl::Time now) {
  const int64_t known = directory.revision();
  // An old message may have servers whose removal is no longer recorded.
  if (batch.as_of() < known) return batch_result::unchanged;
  const bool follows =
      batch.range ||
      receiver.on_message(batch.from_revision, batch.removals_since, known);
  if (!follows) return batch_result::missing_changes;
  bool changed =
      apply_server_changes(directory, current_changes(receiver, batch), now);
  if (!batch.range) {
    directory.advance_revision(batch.to_revision);
  } else {
    changed |= remove_missing(directory, batch);
    const auto state = receiver.on_range(
        batch.range->ids, {batch.range->revision, batch.removals_since}, known);
    if (state)
      directory.advance_to_list(state->revision, state->removals_since);
  }
  return changed ? batch_result::changed : batch_result::unchanged;
}

}  // namespace spokesail
