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
ABSL_FLAG(double, reject_share, 0,
          "fraction of the servers that turn all requests away with 503");
ABSL_FLAG(std::string, reject_service, "",
          "service whose servers turn requests away; empty for all");
ABSL_FLAG(std::string, reject_retry_after, "",
          "Retry-After of these answers, in seconds; empty for none");
ABSL_FLAG(bool, reject_marked, true,
          "state in these answers that the request has not run");
ABSL_FLAG(absl::Duration, reject_from, absl::ZeroDuration(),
          "delay from startup until requests are turned away");
ABSL_FLAG(absl::Duration, reject_for, absl::InfiniteDuration(),
          "how long requests are turned away");
ABSL_FLAG(double, leaving_share, 0,
          "fraction of the servers that announce in answers that they leave");
ABSL_FLAG(std::string, leaving_service, "",
          "service whose servers announce it; empty for all");
ABSL_FLAG(absl::Duration, leaving_from, absl::ZeroDuration(),
          "delay from startup until it is announced");
ABSL_FLAG(absl::Duration, leaving_for, absl::InfiniteDuration(),
          "how long it is announced");
ABSL_FLAG(double, silent_share, 0,
          "fraction of the servers that neither read nor write for a time");
ABSL_FLAG(std::string, silent_service, "",
          "service whose servers fall silent; empty for all");
ABSL_FLAG(absl::Duration, silent_from, absl::ZeroDuration(),
          "delay from startup until they fall silent");
ABSL_FLAG(absl::Duration, silent_for, absl::Seconds(1),
          "how long they are silent");
ABSL_FLAG(absl::Duration, silent_gap, absl::ZeroDuration(),
          "delay from the silence of one of them to that of the next");

ABSL_FLAG(std::string, framing, "",
          "framing of answers, chunked, length or close; empty for the usual");
ABSL_FLAG(double, framing_share, 1, "fraction of the servers that use it");
ABSL_FLAG(std::string, framing_service, "",
          "service whose servers use it; empty for all");
ABSL_FLAG(absl::Duration, framing_from, absl::ZeroDuration(),
          "delay from startup until it is used");
ABSL_FLAG(absl::Duration, framing_for, absl::InfiniteDuration(),
          "how long it is used");
ABSL_FLAG(int, break_after, -1,
          "bytes of the body after which these answers are broken off; "
          "negative for whole answers");
ABSL_FLAG(int, breaks, -1, "number of answers broken off; negative for all");
ABSL_FLAG(std::string, break_by, "close",
          "how these answers are broken off: close, reset or end");

ABSL_FLAG(std::vector<std::string>, crash_parts, {},
          "ids of prompt parts on which engines crash as they begin to answer");
ABSL_FLAG(double, crash_part_share, 1, "fraction of the engines that do so");
ABSL_FLAG(absl::Duration, crash_part_from, absl::ZeroDuration(),
          "delay from startup until they do so");
ABSL_FLAG(absl::Duration, crash_part_for, absl::InfiniteDuration(),
          "how long they do so");
ABSL_FLAG(absl::Duration, crash_part_prefill, absl::Milliseconds(100),
          "time from the arrival of such a request until its answer begins");

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

void set_selection(server_selection& out, const std::string& service,
                   double share, absl::Duration from, absl::Duration length) {
  out.service = service;
  out.share = share;
  out.from = absl::Now() + from;
  out.until = out.from + length;
}

limit_settings limit_from_flags() {
  limit_settings out;
  set_selection(
      out, absl::GetFlag(FLAGS_limit_service), absl::GetFlag(FLAGS_limit_share),
      absl::GetFlag(FLAGS_limit_from), absl::GetFlag(FLAGS_limit_for));
  out.per_s = absl::GetFlag(FLAGS_limit);
  out.strict = absl::GetFlag(FLAGS_limit_strict);
  return out;
}

rejection_settings rejection_from_flags() {
  rejection_settings out;
  set_selection(out, absl::GetFlag(FLAGS_reject_service),
                absl::GetFlag(FLAGS_reject_share),
                absl::GetFlag(FLAGS_reject_from),
                absl::GetFlag(FLAGS_reject_for));
  out.active = out.share > 0;
  const std::string retry_after = absl::GetFlag(FLAGS_reject_retry_after);
  if (!retry_after.empty()) out.retry_after = {retry_after};
  out.marked = absl::GetFlag(FLAGS_reject_marked);
  return out;
}

departure_settings departure_from_flags() {
  departure_settings out;
  set_selection(out, absl::GetFlag(FLAGS_leaving_service),
                absl::GetFlag(FLAGS_leaving_share),
                absl::GetFlag(FLAGS_leaving_from),
                absl::GetFlag(FLAGS_leaving_for));
  out.active = out.share > 0;
  return out;
}

silence_settings silence_from_flags() {
  silence_settings out;
  set_selection(out, absl::GetFlag(FLAGS_silent_service),
                absl::GetFlag(FLAGS_silent_share),
                absl::GetFlag(FLAGS_silent_from),
                absl::GetFlag(FLAGS_silent_for));
  out.active = out.share > 0;
  out.gap = absl::GetFlag(FLAGS_silent_gap);
  return out;
}

shape_settings shape_from_flags() {
  static const std::map<std::string, answer_framing> framings = {
      {"chunked", answer_framing::chunked},
      {"length", answer_framing::length},
      {"close", answer_framing::until_close}};
  static const std::map<std::string, break_kind> kinds = {
      {"close", break_kind::close},
      {"reset", break_kind::reset},
      {"end", break_kind::end}};
  shape_settings out;
  set_selection(out, absl::GetFlag(FLAGS_framing_service),
                absl::GetFlag(FLAGS_framing_share),
                absl::GetFlag(FLAGS_framing_from),
                absl::GetFlag(FLAGS_framing_for));
  const std::string framing = absl::GetFlag(FLAGS_framing);
  const int break_after = absl::GetFlag(FLAGS_break_after);
  out.active = !framing.empty() || break_after >= 0;
  if (!framing.empty()) out.shape.framing = framings.at(framing);
  if (break_after >= 0) out.shape.break_after = break_after;
  out.shape.kind = kinds.at(absl::GetFlag(FLAGS_break_by));
  out.breaks = absl::GetFlag(FLAGS_breaks);
  return out;
}

crash_part_settings crash_part_from_flags() {
  crash_part_settings out;
  set_selection(out, "", absl::GetFlag(FLAGS_crash_part_share),
                absl::GetFlag(FLAGS_crash_part_from),
                absl::GetFlag(FLAGS_crash_part_for));
  for (const auto& id : absl::GetFlag(FLAGS_crash_parts)) out.parts.insert(id);
  out.prefill = absl::GetFlag(FLAGS_crash_part_prefill);
  return out;
}

}  // namespace
}  // namespace spokesail::standin

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  using namespace spokesail::standin;
  boost::asio::io_context loop;
  fleet_standin fleet(loop, absl::GetFlag(FLAGS_domains),
                      absl::GetFlag(FLAGS_hosts));
  fleet.configure(fleet.sample_config({"key-1", "key-2"}));
  fleet.faults.limit = limit_from_flags();
  fleet.faults.rejection = rejection_from_flags();
  fleet.faults.departure = departure_from_flags();
  fleet.faults.silence = silence_from_flags();
  fleet.faults.shape = shape_from_flags();
  fleet.faults.crash_part = crash_part_from_flags();
  fleet.start();
  fleet_control control(fleet);
  boost::asio::ip::tcp::acceptor acceptor(
      loop, {boost::asio::ip::make_address(absl::GetFlag(FLAGS_address)),
             static_cast<uint16_t>(absl::GetFlag(FLAGS_port))});
  boost::asio::co_spawn(loop, accept(loop, control, acceptor),
                        boost::asio::detached);
  loop.run();
  return 0;
}
