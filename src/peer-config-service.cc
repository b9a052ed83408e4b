// Transfers the configuration between nodes over HTTP.
#include "peer-config-service.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <utility>

#include "detail/socket-deadline.h"
#include "detail/socket.h"
#include "listener.h"

namespace spokesail {
namespace {

namespace net = boost::asio;
namespace http = boost::beast::http;
using detail::use_tuple;
using net::ip::tcp;

constexpr char config_path[] = "/configuration";
constexpr char revision_header[] = "Revision";

/// Timeout of one transfer. Eight peers that read a configuration of 100 KB
/// over a shared link of 20 Mbit/s take a third of a second.
constexpr absl::Duration transfer_timeout = absl::Milliseconds(700);

/// Delay after a connection could not be accepted for lack of file descriptors.
constexpr absl::Duration accept_retry_delay = absl::Milliseconds(20);

}  // namespace

bool peer_config_service::listen() {
  return open_listener(this->acceptor, this->node.settings.peer_address,
                       this->node);
}

net::awaitable<void> peer_config_service::serve() {
  for (;;) {
    auto [error, socket] = co_await this->acceptor.async_accept(use_tuple);
    if (error == net::error::operation_aborted) co_return;
    if (error) {
      this->node.log.state_change("accept_failed", {{"why", error.message()}},
                                  this->node.now());
      co_await this->node.sleep(accept_retry_delay);
      continue;
    }
    auto connection = std::make_shared<tcp::socket>(std::move(socket));
    net::co_spawn(this->node.loop, this->answer(connection), net::detached);
  }
}

net::awaitable<void> peer_config_service::answer(
    std::shared_ptr<tcp::socket> socket) {
  http_request request;
  {
    // Closes connections that stall, which would otherwise stay open forever.
    const detail::socket_deadline deadline(socket, transfer_timeout);
    boost::beast::flat_buffer buffer;
    auto [error, size] =
        co_await http::async_read(*socket, buffer, request, use_tuple);
    if (error) co_return;
    if (request.method() != http::verb::connect) {
      co_await this->send_config(*socket, request);
      co_return;
    }
  }
  if (this->on_tunnel) co_await this->on_tunnel(socket, std::move(request));
}

net::awaitable<void> peer_config_service::send_config(
    tcp::socket& socket, const http_request& request) {
  http_response response(http::status::not_found, http_11);
  const auto config = this->node.config_object;
  if (config && request.target() == config_path) {
    response.result(http::status::ok);
    response.set(revision_header, absl::StrCat(config->version));
    response.body() = config->body;
  }
  response.keep_alive(false);
  response.prepare_payload();
  auto [failed, sent] = co_await http::async_write(socket, response, use_tuple);
  if (!failed) co_return;
  this->node.log.state_change(
      "peer_not_told",
      {{"kind", this->node.adapter.kinds().config}, {"why", failed.message()}},
      this->node.now());
}

net::awaitable<object_listing> peer_config_service::fetch_from(
    std::string address) {
  object_listing out;
  http_request request(http::verb::get, config_path, http_11);
  const fetch_result result = co_await this->node.fetcher.fetch(
      std::move(address), std::move(request), transfer_timeout);
  const bool ok = result.status == fetch_status::ok &&
                  result.response.result() == http::status::ok;
  object config;
  const std::string revision(result.response[revision_header]);
  const bool valid = ok && absl::SimpleAtoi(revision, &config.version);
  if (!valid) {
    out.error = result.error;
    co_return out;
  }
  const auto& kinds = this->node.adapter.kinds();
  config.key = {kinds.config, kinds.config_name};
  config.body = result.response.body();
  out.revision = config.version;
  out.objects.push_back(std::move(config));
  out.status = store_status::ok;
  co_return out;
}

}  // namespace spokesail
