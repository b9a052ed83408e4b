// Keeps and gives connections, and closes those kept for too long.
#include "connection-pool.h"

#include "detail/socket.h"

namespace spokesail {

std::optional<boost::asio::ip::tcp::socket> connection_pool::take(
    const std::string& server, absl::Time now) {
  const auto found = this->by_server.find(server);
  if (found == this->by_server.end()) return std::nullopt;
  auto& kept = found->second;
  while (!kept.empty()) {
    auto item = std::move(kept.back());
    kept.pop_back();
    // Bytes that nobody asked for belong to no request: such a connection,
    // like a closed one, is not used again.
    if (now < item.until && detail::is_open_and_idle(item.socket)) {
      return std::move(item.socket);
    }
  }
  return std::nullopt;
}

void connection_pool::put(const std::string& server,
                          boost::asio::ip::tcp::socket socket,
                          absl::Time until) {
  this->by_server[server].push_back({std::move(socket), until});
}

void connection_pool::expire(absl::Time now) {
  for (auto& [server, kept] : this->by_server) {
    std::erase_if(kept, [&](auto& item) { return now >= item.until; });
  }
  std::erase_if(this->by_server,
                [](const auto& item) { return item.second.empty(); });
}

size_t connection_pool::size() const {
  size_t sum = 0;
  for (const auto& [server, kept] : this->by_server) sum += kept.size();
  return sum;
}

}  // namespace spokesail
