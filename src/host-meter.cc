#include "host-meter.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace spokesail {

absl::Duration used_processor_time() {
  rusage usage{};
  if (::getrusage(RUSAGE_SELF, &usage) != 0) return absl::ZeroDuration();
  return absl::DurationFromTimeval(usage.ru_utime) +
         absl::DurationFromTimeval(usage.ru_stime);
}

int accept_queue_length(boost::asio::ip::tcp::acceptor& listener) {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int failed = ::getsockopt(listener.native_handle(), IPPROTO_TCP,
                                  TCP_INFO, &info, &size);
  // For listening sockets Linux reports the length of the queue here.
  return failed != 0 ? 0 : static_cast<int>(info.tcpi_unacked);
}

}  // namespace spokesail
