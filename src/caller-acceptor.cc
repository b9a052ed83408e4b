#include "caller-acceptor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "caller-session.h"
#include "detail/socket.h"
#include "listener.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
using detail::use_tuple;
using net::ip::tcp;

/// Maximum number of connections accepted in one pass of the event loop, so
/// that other work is not delayed by much.
constexpr int max_accepts = 64;

/// Sockets that a request needs: its caller's and its server's.
constexpr size_t request_sockets = 2;

}  // namespace

bool caller_acceptor::listen(const std::string& at) {
  this->address = at;
  boost::system::error_code ignored;
  this->listener.close(ignored);
  if (!open_listener(this->listener, at, this->node)) return false;
  this->listener.non_blocking(true);
  return true;
}

void caller_acceptor::close() {
  this->closed = true;
  boost::system::error_code ignored;
  this->listener.close(ignored);
}

int caller_acceptor::queue_length() {
  return this->listener.is_open() ? accept_queue_length(this->listener) : 0;
}

bool caller_acceptor::has_sockets() const {
  const auto max_sockets = static_cast<size_t>(this->node.settings.max_sockets);
  return this->node.used_sockets() + request_sockets <= max_sockets;
}

const char* caller_acceptor::reason_to_pause() const {
  if (!this->has_sockets()) return "no descriptors";
  const bool admits = this->node.intake.admits(this->node.requests_in_progress,
                                               this->node.now());
  return admits ? nullptr : "no capacity";
}

net::awaitable<void> caller_acceptor::pause(const char* reason) {
  this->pause_count++;
  this->node.metrics.count_connection_pause(reason);
  boost::system::error_code ignored;
  this->listener.close(ignored);
  while (!this->closed) {
    co_await this->node.sleep(node_timing::tick);
    const bool resumes = !this->closed && this->has_sockets() &&
                         this->node.intake.may_resume(
                             this->node.requests_in_progress, this->node.now());
    if (resumes && this->listen(this->address)) co_return;
  }
}

net::awaitable<void> caller_acceptor::run() {
  while (!this->closed) {
    if (const char* reason = this->reason_to_pause()) {
      co_await this->pause(reason);
      continue;
    }
    co_await this->listener.async_wait(tcp::acceptor::wait_read, use_tuple);
    if (this->closed) co_return;
    if (!this->accept_waiting()) co_await this->node.sleep(node_timing::tick);
  }
}

bool caller_acceptor::accept_waiting() {
  for (int i = 0; i < max_accepts && this->reason_to_pause() == nullptr; ++i) {
    tcp::socket socket(this->node.loop);
    boost::system::error_code error;
    this->listener.accept(socket, error);
    if (error == net::error::would_block) return true;
    // Its caller has reset it; others may wait.
    if (error == net::error::connection_aborted) continue;
    if (error) {
      this->node.log.state_change("accept_failed", {{"why", error.message()}},
                                  this->node.now());
      return false;
    }
    this->start_session(std::move(socket));
  }
  return true;
}

void caller_acceptor::start_session(tcp::socket socket) {
  this->node.intake.on_accepted(this->node.now());
  this->node.metrics.count_connection("accepted");
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto session =
      std::make_shared<caller_session>(this->node, std::move(socket));
  net::co_spawn(
      this->node.loop,
      [session]() -> net::awaitable<void> { co_await session->run(); },
      net::detached);
}

}  // namespace spokesail
