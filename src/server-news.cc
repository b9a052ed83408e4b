// Between a directory of servers and the news of it.
#include "server-news.h"

#include <algorithm>

namespace spokesail {

std::vector<server_news> news_since(const server_directory& directory,
                                    int64_t from, absl::Time now) {
  std::vector<server_news> out;
  for (const auto& [id, server] : directory.servers()) {
    const bool lapsing = server.lapses_at != absl::InfinitePast();
    if (server.revision <= from && !lapsing) continue;
    server_news item;
    item.server = server;
    if (lapsing) {
      item.lapses_in = std::max(absl::Milliseconds(1), server.lapses_at - now);
    }
    out.push_back(item);
  }
  for (const auto& [id, revision] : directory.gone()) {
    if (revision <= from) continue;
    server_news item;
    item.server.entry.id = id;
    item.server.revision = revision;
    item.gone = true;
    out.push_back(item);
  }
  return out;
}

bool apply_news(server_directory& directory,
                const std::vector<server_news>& servers, absl::Time now) {
  bool changed = false;
  for (const auto& item : servers) {
    const listed_server& server = item.server;
    if (item.gone) {
      changed |= directory.remove(server.entry.id, server.revision,
                                  absl::InfinitePast());
    } else if (item.lapses_in > absl::ZeroDuration()) {
      directory.remove(server.entry.id, server.revision, now + item.lapses_in);
    } else {
      changed |= directory.update(server);
    }
  }
  return changed;
}

}  // namespace spokesail
