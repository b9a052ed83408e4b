// The changes of servers that nodes send each other, and their application.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "node-message.h"
#include "spokesail/change-relay.h"
#include "spokesail/server-directory.h"

namespace spokesail {

/// All changes after revision `from`, and the servers that are expiring, since
/// no revision marks those.
std::vector<server_change> server_changes_since(
    const server_directory& directory, int64_t from, absl::Time now);

/// Limits of one batch.
struct batch_limits {
  /// Number of changes.
  size_t changes = 200;
  /// Encoded size, exceeded by one change at most.
  size_t bytes = 32 << 10;
  bool operator==(const batch_limits&) const = default;
};

/// Splits all changes after `from` up to `to` into batches, to be applied in
/// order. Each batch holds all removals. Returns at least one batch.
std::vector<server_change_batch> split_server_changes(
    std::vector<server_change> changes, const batch_limits& limits,
    int64_t from, int64_t to);

/// Splits all servers and known removals as of `revision` into batches that
/// hold one range of ids each, to be applied in any order.
std::vector<server_change_batch> split_server_list(
    std::vector<server_change> changes, const batch_limits& limits,
    int64_t revision);

/// The batches for a node that has all changes up to revision `from`. They hold
/// the changes after it, or all servers if this directory may not know all
/// removals after it.
std::vector<server_change_batch> make_server_batches(
    const server_directory& directory, int64_t from, const batch_limits& limits,
    absl::Time now);

/// Applies changes received from another node. Returns false if none was new.
bool apply_server_changes(server_directory& directory,
                          const std::vector<server_change>& servers,
                          absl::Time now);

/// Outcome of a batch: whether it follows on the changes that are known, and
/// whether any server changed.
enum class batch_result { missing_changes, unchanged, changed };

/// Applies a batch received from another node.
batch_result apply_server_batch(server_directory& directory,
                                change_receiver& receiver,
                                const server_change_batch& batch,
                                absl::Time now);

}  // namespace spokesail
