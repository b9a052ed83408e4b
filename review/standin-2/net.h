// Blocking sockets and HTTP/1.1 messages for the stand-ins of this folder.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;

/// Seconds since the first call.
inline double now_s() {
  static const steady::time_point start = steady::now();
  return std::chrono::duration<double>(steady::now() - start).count();
}

inline void sleep_s(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

struct address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in socket_address(const address& a) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(a.port));
  inet_pton(AF_INET, a.ip.c_str(), &out.sin_addr);
  return out;
}

/// A listening socket; -1 if the address is in use.
inline int listen_at(const address& a) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in where = socket_address(a);
  const bool bound =
      ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
  if (bound && ::listen(fd, 1024) == 0) return fd;
  ::close(fd);
  return -1;
}

/// A port that nothing uses at `ip`.
inline int free_port(const std::string& ip) {
  const int fd = listen_at({ip, 0});
  sockaddr_in where{};
  socklen_t size = sizeof where;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
  ::close(fd);
  return ntohs(where.sin_port);
}

/// Header names are in lower case.
struct message {
  /// The request line or status line.
  std::string first;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string header(const std::string& name) const {
    for (const auto& [key, value] : headers) {
      if (key == name) return value;
    }
    return "";
  }
  int status() const {
    return first.size() > 11 ? std::atoi(first.c_str() + 9) : 0;
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
};

/// A connection that reads and writes whole messages.
class connection {
 public:
  explicit connection(int descriptor) : fd(descriptor) {
    const int on = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~connection() { close(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  /// Connects; the connection is not open if that fails.
  static std::unique_ptr<connection> to(const address& a, double timeout_s) {
    const int fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in where = socket_address(a);
    int failed =
        ::connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where);
    if (failed != 0 && errno == EINPROGRESS) {
      pollfd waiting{fd, POLLOUT, 0};
      int error = ETIMEDOUT;
      socklen_t size = sizeof error;
      if (::poll(&waiting, 1, static_cast<int>(timeout_s * 1000)) > 0)
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      failed = error;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    if (failed != 0) {
      ::close(fd);
      return std::make_unique<connection>(-1);
    }
    return std::make_unique<connection>(fd);
  }

  bool open() const { return fd >= 0; }
  int descriptor() const { return fd; }
  void close() {
    if (fd >= 0) ::close(fd);
    fd = -1;
  }
  /// Ends all calls on this connection, from any thread.
  void interrupt() {
    if (fd >= 0) ::shutdown(fd, SHUT_RDWR);
  }

  bool write(const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n =
          ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<size_t>(n);
    }
    return true;
  }

  /// Reads a message; nothing at an end, an error or after the timeout. A
  /// response without a length ends with the connection.
  std::optional<message> read(double timeout_s = 3600) {
    const double until = now_s() + timeout_s;
    size_t head_end = 0;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) return std::nullopt;
    }
    message out;
    size_t at = buffer.find("\r\n");
    out.first = buffer.substr(0, at);
    while (at < head_end) {
      const size_t from = at + 2;
      at = buffer.find("\r\n", from);
      const std::string line = buffer.substr(from, at - from);
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t value = line.find_first_not_of(' ', colon + 1);
      out.headers.emplace_back(
          name, value == std::string::npos ? "" : line.substr(value));
    }
    buffer.erase(0, head_end + 4);
    const std::string length = out.header("content-length");
    if (out.header("transfer-encoding") == "chunked") {
      for (;;) {
        size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
          if (!fill(until)) return std::nullopt;
        }
        const size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < end + 2 + size + 2) {
          if (!fill(until)) return std::nullopt;
        }
        out.body.append(buffer, end + 2, size);
        buffer.erase(0, end + 2 + size + 2);
        if (size == 0) return out;
      }
    }
    const size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (!fill(until)) return std::nullopt;
    }
    out.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return out;
  }

 private:
  bool fill(double until) {
    if (fd < 0) return false;
    const double left = until - now_s();
    pollfd waiting{fd, POLLIN, 0};
    if (left <= 0 ||
        ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) <= 0)
      return false;
    char bytes[65536];
    const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int fd;
  std::string buffer;
};

/// A response with a length.
inline std::string response(int status, const std::string& body,
                            const std::string& more_headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + more_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and serves each in a thread of its own.
class server {
 public:
  using handler = std::function<void(connection&)>;
  server(const address& at, handler serve)
      : fd(listen_at(at)), serve_one(std::move(serve)) {
    if (fd >= 0) accepting = std::thread([this] { run(); });
  }
  ~server() {
    over = true;
    if (fd >= 0) ::shutdown(fd, SHUT_RDWR);
    if (accepting.joinable()) accepting.join();
    interrupt_all();
    while (running > 0) sleep_s(0.005);
    if (fd >= 0) ::close(fd);
  }
  server(const server&) = delete;
  server& operator=(const server&) = delete;

  bool listening() const { return fd >= 0; }
  /// Ends all open connections.
  void interrupt_all() {
    const std::lock_guard lock(mutex);
    for (connection* c : open) c->interrupt();
  }

 private:
  void run() {
    while (!over) {
      const int client = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        sleep_s(0.005);
        continue;
      }
      ++running;
      std::thread([this, client] {
        {
          connection c(client);
          {
            const std::lock_guard lock(mutex);
            open.insert(&c);
          }
          serve_one(c);
          const std::lock_guard lock(mutex);
          open.erase(&c);
        }
        --running;
      }).detach();
    }
  }

  int fd;
  handler serve_one;
  std::atomic<bool> over = false;
  std::atomic<int> running = 0;
  std::mutex mutex;
  std::set<connection*> open;
  std::thread accepting;
};

}  // namespace review
