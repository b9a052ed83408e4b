// Conversion between the directory of servers and the changes sent to peers.
#include "server-changes.h"

#include <algorithm>

namespace spokesail {
namespace {

/// Upper bound of the cold time in one update; a server that stays cold for
/// longer is reported again before it has passed.
constexpr absl::Duration max_cold_time = absl::Hours(24);

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
    std::vector<server_change> changes, size_t max_size, int64_t from,
    int64_t to) {
  const auto revision_of = [](const server_change& item) {
    return item.server.revision;
  };
  std::sort(changes.begin(), changes.end(), [&](const auto& a, const auto& b) {
    return revision_of(a) < revision_of(b);
  });
  std::vector<server_change_batch> out(1);
  out.front().from_revision = from;
  for (auto& item : changes) {
    server_change_batch& last = out.back();
    // Changes of one revision stay together.
    const bool full = last.servers.size() >= max_size &&
                      revision_of(item) != revision_of(last.servers.back());
    if (full) {
      last.to_revision = std::max(from, revision_of(item) - 1);
      out.push_back({last.to_revision, 0, {}});
    }
    out.back().servers.push_back(std::move(item));
  }
  out.back().to_revision = to;
  return out;
}

bool apply_server_changes(server_directory& directory,
                          const std::vector<server_change>& servers,
                          absl::Time now) {
  bool changed = false;
  for (const auto& item : servers) {
    listed_server server = item.server;
    const bool cold = item.cold_remaining > absl::ZeroDuration();
    server.cold_until = cold ? now + item.cold_remaining : absl::InfinitePast();
    if (item.gone) {
      changed |= directory.remove(server.entry.id, server.revision,
                                  absl::InfinitePast());
    } else if (item.expires_in > absl::ZeroDuration()) {
      directory.remove(server.entry.id, server.revision, now + item.expires_in);
    } else {
      changed |= directory.update(server);
    }
  }
  return changed;
}

}  // namespace spokesail
