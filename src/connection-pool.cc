// Stores idle connections for reuse and closes expired ones.
#include "connection-pool.h"

#include "detail/socket.h"

namespace spokesail {

std::optional<boost::asio::ip::tcp::socket> connection_pool::take(
    const std::string& server, absl::Time now) {
  const auto found = this->by_server.find(server);
  if (found == this->by_server.end()) return std::nullopt;
  auto& idle = found->second;
  while (!idle.empty()) {
    auto item = std::move(idle.back());
    idle.pop_back();
    // Unread bytes on an idle connection belong to no request, so it is not
    // reused, nor is a closed one.
    if (now < item.expires_at && detail::is_open_and_idle(item.socket)) {
      return std::move(item.socket);
    }
  }
  return std::nullopt;
}

void connection_pool::put(const std::string& server,
                          boost::asio::ip::tcp::socket socket,
                          absl::Time expires_at) {
  this->by_server[server].push_back({std::move(socket), expires_at});
}

void connection_pool::expire(absl::Time now) {
  for (auto& [server, idle] : this->by_server) {
    std::erase_if(idle, [&](auto& item) { return now >= item.expires_at; });
  }
  std::erase_if(this->by_server,
                [](const auto& item) { return item.second.empty(); });
}

size_t connection_pool::size() const {
  size_t sum = 0;
  for (const auto& [server, idle] : this->by_server) sum += idle.size();
  return sum;
}

}  // namespace spokesail
