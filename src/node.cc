#include "node.h"

#include <array>
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

/// The signals that a node handles in its event loop.
constexpr std::array handled_signals = {SIGTERM, SIGINT, SIGHUP};

sigset_t handled_signal_mask() {
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : handled_signals) sigaddset(&mask, number);
  return mask;
}

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

void block_node_signals() {
  const sigset_t mask = handled_signal_mask();
  pthread_sigmask(SIG_BLOCK, &mask, nullptr);
}

int run_node(const node_settings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  node_log log(settings.node);
  net::io_context loop(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
  net::signal_set signals(loop);
  for (const int number : handled_signals) signals.add(number);
  const sigset_t mask = handled_signal_mask();
  pthread_sigmask(SIG_UNBLOCK, &mask, nullptr);
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
