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

/// Applies changes that another node has told. False if none was new.
bool apply_news(server_directory& directory,
                const std::vector<server_news>& servers, absl::Time now);

}  // namespace spokesail
