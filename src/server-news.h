// The changes of servers that nodes tell each other, and what they do.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "node-message.h"
#include "spokesail/server-directory.h"

namespace spokesail {

/// All changes after revision `from`, and the servers that are lapsing, since
/// no revision tells of those.
std::vector<server_news> news_since(const server_directory& directory,
                                    int64_t from, absl::Time now);

/// Changes that fit one datagram: all after one revision up to another.
struct news_part {
  int64_t from_revision = 0;
  int64_t to_revision = 0;
  std::vector<server_news> servers;
  bool operator==(const news_part&) const = default;
};

/// Splits all changes after `from` up to `to` into parts of at most about
/// `most` changes, to be applied in order. There is one part at least.
std::vector<news_part> split_news(std::vector<server_news> news, size_t most,
                                  int64_t from, int64_t to);

/// Applies changes that another node has told. False if none was new.
bool apply_news(server_directory& directory,
                const std::vector<server_news>& servers, absl::Time now);

}  // namespace spokesail
