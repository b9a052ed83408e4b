// Runs the small fleet as a process, controlled over HTTP by a soak test.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/time/clock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>

#include "fleet-control.h"
#include "fleet-loop.h"
#include "fleet-standin.h"

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address of the control API");
ABSL_FLAG(int, port, 0, "port of the control API");
ABSL_FLAG(int, domains, 2, "number of fabric domains");
ABSL_FLAG(int, hosts, 5, "number of hosts per domain");
ABSL_FLAG(std::string, limit, "",
          "rate limit that servers advertise, in requests/s; empty for none");
ABSL_FLAG(std::string, limit_service, "",
          "service whose servers advertise the limit; empty for all");
ABSL_FLAG(double, limit_share, 1,
          "fraction of the servers that advertise the limit");
ABSL_FLAG(absl::Duration, limit_from, absl::ZeroDuration(),
          "delay from startup until the limit is advertised");
ABSL_FLAG(absl::Duration, limit_for, absl::InfiniteDuration(),
          "how long the limit is advertised");
ABSL_FLAG(bool, limit_strict, false, "reject requests above the limit");

namespace spokesail::standin {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using net::ip::tcp;
using json = nlohmann::json;

net::awaitable<void> serve(fleet_control& control,
                           std::shared_ptr<tcp::socket> socket) {
  boost::beast::flat_buffer buffer;
  for (;;) {
    fleet_standin::request in;
    auto [error, size] =
        co_await http::async_read(*socket, buffer, in, use_tuple);
    if (error) co_return;
    const json body = json::parse(in.body(), nullptr, false);
    const json result = control.handle(std::string(in.target()), body);
    auto out = make_response(result.is_null() ? 404 : 200, result.dump());
    out.prepare_payload();
    auto [failed, sent] = co_await http::async_write(*socket, out, use_tuple);
    if (failed) co_return;
  }
}

net::awaitable<void> accept(net::io_context& loop, fleet_control& control,
                            tcp::acceptor& acceptor) {
  for (;;) {
    auto [error, socket] = co_await acceptor.async_accept(use_tuple);
    if (error) co_return;
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    net::co_spawn(loop, serve(control, shared), net::detached);
  }
}

}  // namespace
}  // namespace spokesail::standin

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  using spokesail::standin::fleet_standin;
  boost::asio::io_context loop;
  fleet_standin fleet(loop, absl::GetFlag(FLAGS_domains),
                      absl::GetFlag(FLAGS_hosts));
  fleet.configure(fleet.sample_config({"key-1", "key-2"}));
  const absl::Time limit_start = absl::Now() + absl::GetFlag(FLAGS_limit_from);
  fleet.faults.limit = {absl::GetFlag(FLAGS_limit),
                        absl::GetFlag(FLAGS_limit_service),
                        absl::GetFlag(FLAGS_limit_share),
                        limit_start,
                        limit_start + absl::GetFlag(FLAGS_limit_for),
                        absl::GetFlag(FLAGS_limit_strict)};
  fleet.start();
  spokesail::standin::fleet_control control(fleet);
  boost::asio::ip::tcp::acceptor acceptor(
      loop, {boost::asio::ip::make_address(absl::GetFlag(FLAGS_address)),
             static_cast<uint16_t>(absl::GetFlag(FLAGS_port))});
  boost::asio::co_spawn(loop,
                        spokesail::standin::accept(loop, control, acceptor),
                        boost::asio::detached);
  loop.run();
  return 0;
}
