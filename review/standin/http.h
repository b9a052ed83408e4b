// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace review {

using steady = std::chrono::steady_clock;

inline double seconds() {
  static const auto begun = steady::now();
  return std::chrono::duration<double>(steady::now() - begun).count();
}

inline void sleep_for(double time) {
  if (time > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(time));
}

inline void sleep_until(double at) { sleep_for(at - seconds()); }

struct address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_sockaddr(const address& at) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(at.port));
  inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
  return out;
}

/// Opens a listener; sets the port of `at` if it is 0. Returns -1 on failure.
inline int listen_at(address& at) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name = to_sockaddr(at);
  socklen_t size = sizeof name;
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), size) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  at.port = ntohs(name.sin_port);
  return fd;
}

/// Whether a TCP port can be bound.
inline bool port_free(address at) {
  const int fd = listen_at(at);
  if (fd >= 0) close(fd);
  return fd >= 0;
}

struct message {
  /// First line without its end.
  std::string first;
  /// Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const size_t from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  int status() const {
    return first.size() < 12 ? 0 : std::atoi(first.c_str() + 9);
  }
};

/// A connection with a deadline for all that is read from it.
class connection {
 public:
  explicit connection(int socket) : fd(socket) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~connection() {
    if (fd >= 0) close(fd);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  static int dial(const address& at, double timeout) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in name = to_sockaddr(at);
    if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0) {
      pollfd wait{fd, POLLOUT, 0};
      int error = 0;
      socklen_t size = sizeof error;
      const bool up = errno == EINPROGRESS &&
                      poll(&wait, 1, static_cast<int>(timeout * 1000)) == 1;
      if (up) getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
      if (!up || error != 0) {
        close(fd);
        return -1;
      }
    }
    return fd;
  }

  bool write(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        pollfd wait{fd, POLLOUT, 0};
        if (poll(&wait, 1, 5000) != 1) return false;
        continue;
      }
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  /// Reads more bytes; false at the end, on an error or at the deadline.
  bool fill(double until) {
    for (;;) {
      const double left = until - seconds();
      if (left <= 0) return false;
      pollfd wait{fd, POLLIN, 0};
      const int ready = poll(&wait, 1, static_cast<int>(left * 1000) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready <= 0) return false;
      char bytes[16384];
      const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) continue;
      if (n <= 0) return false;
      buffer.append(bytes, static_cast<size_t>(n));
      return true;
    }
  }

  /// Reads a request or a response with a length or in chunks.
  bool read(message& out, double until) {
    size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!fill(until)) return false;
    }
    out = {};
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    size_t at = head.find("\r\n");
    out.first = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const size_t stop = head.find("\r\n", at);
      const std::string line = head.substr(at, stop - at);
      at = stop + 2;
      const size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      size_t from = colon + 1;
      while (from < line.size() && line[from] == ' ') ++from;
      out.fields[name] = line.substr(from);
    }
    if (out.field("transfer-encoding") == "chunked") return chunks(out, until);
    const size_t size =
        std::strtoul(out.field("content-length").c_str(), nullptr, 10);
    while (buffer.size() < size) {
      if (!fill(until)) return false;
    }
    out.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
  }

  int fd;
  std::string buffer;

 private:
  bool chunks(message& out, double until) {
    for (;;) {
      size_t end;
      while ((end = buffer.find("\r\n")) == std::string::npos) {
        if (!fill(until)) return false;
      }
      const size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < end + 2 + size + 2) {
        if (!fill(until)) return false;
      }
      out.body += buffer.substr(end + 2, size);
      buffer.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }
};

inline std::string make_response(
    int status, const std::string& body,
    const std::map<std::string, std::string>& fields = {}) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields) out += name + ": " + value + "\r\n";
  return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// A listener that serves each connection on a thread of its own. `serve`
/// returns whether the connection is kept.
class listener {
 public:
  using handler = std::function<bool(connection&, const message&)>;

  listener(address where, handler serve)
      : at(std::move(where)), handle(std::move(serve)) {
    fd = listen_at(at);
    if (fd < 0) return;
    thread = std::thread([this] { run(); });
  }
  ~listener() { stop(); }

  bool ok() const { return fd >= 0; }

  /// Closes the port and all connections, as the end of a process does.
  void stop() {
    if (stopped.exchange(true)) return;
    if (fd >= 0) shutdown(fd, SHUT_RDWR);
    if (thread.joinable()) thread.join();
    if (fd >= 0) close(fd);
    {
      const std::lock_guard<std::mutex> lock(mutex);
      for (const int open : connections) shutdown(open, SHUT_RDWR);
    }
    while (running.load() > 0) sleep_for(0.002);
  }

  address at;

 private:
  void run() {
    while (!stopped) {
      const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0) {
        if (stopped) return;
        sleep_for(0.001);
        continue;
      }
      ++running;
      std::thread([this, peer] {
        {
          connection link(peer);
          {
            const std::lock_guard<std::mutex> lock(mutex);
            connections.insert(peer);
          }
          message in;
          while (!stopped && link.read(in, seconds() + 3600)) {
            if (!handle(link, in)) break;
          }
          const std::lock_guard<std::mutex> lock(mutex);
          connections.erase(peer);
        }
        --running;
      }).detach();
    }
  }

  handler handle;
  int fd = -1;
  std::thread thread;
  std::atomic<bool> stopped{false};
  std::atomic<int> running{0};
  std::mutex mutex;
  std::set<int> connections;
};

}  // namespace review
