// The changes of servers that nodes send each other, and their application.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "node-message.h"
#include "spokesail/server-directory.h"

namespace spokesail {

/// All changes after revision `from`, and the servers that are expiring, since
/// no revision marks those.
std::vector<server_change> server_changes_since(
    const server_directory& directory, int64_t from, absl::Time now);

/// Changes that fit one datagram: all after one revision up to another.
struct server_change_batch {
  int64_t from_revision = 0;
  int64_t to_revision = 0;
  std::vector<server_change> servers;
  bool operator==(const server_change_batch&) const = default;
};

/// Splits all changes after `from` up to `to` into batches of about `max_size`
/// changes, to be applied in order; changes of one revision are not split.
/// Returns at least one batch.
std::vector<server_change_batch> split_server_changes(
    std::vector<server_change> changes, size_t max_size, int64_t from,
    int64_t to);

/// Applies changes received from another node. Returns false if none was new.
bool apply_server_changes(server_directory& directory,
                          const std::vector<server_change>& servers,
                          absl::Time now);

}  // namespace spokesail
