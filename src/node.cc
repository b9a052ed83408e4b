#include "node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "clock.h"
#include "detail/socket.h"
#include "node-process.h"

namespace spokesail {
namespace {

namespace net = boost::asio;

net::awaitable<void> handle_signals(net::signal_set& signals, node_log& log,
                                    node_process& process) {
  for (;;) {
    auto [error, number] = co_await signals.async_wait(detail::use_tuple);
    if (error) co_return;
    if (number == SIGHUP) {
      // Nothing in a node's settings changes while it runs.
      log.state_change("reload", {{"effect", "none"}}, boot_now());
      continue;
    }
    process.stop("signal " + std::to_string(number));
  }
}

}  // namespace

int run_node(const node_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  node_log log(settings.node);
  net::io_context loop(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
  net::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  // Leaked on purpose: coroutines of open connections are never resumed after
  // the loop stops and refer to the node until the process ends.
  auto* process = new node_process(settings, loop, log);  // NOLINT
  log.state_change(
      "start", {{"hall", settings.hall}, {"callers", settings.caller_address}},
      boot_now());
  if (!process->listen()) return 1;
  process->on_exit = [&loop] { loop.stop(); };
  process->start();
  net::co_spawn(loop, handle_signals(signals, log, *process), net::detached);
  loop.run();
  log.state_change("stop", {}, boot_now());
  return 0;
}

}  // namespace spokesail
