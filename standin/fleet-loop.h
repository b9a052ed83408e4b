// Helpers for serving HTTP on an event loop.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "fleet-standin.h"

namespace spokesail::standin {

/// Completion token that returns errors as the first element of a tuple.
inline constexpr auto use_tuple =
    boost::asio::as_tuple(boost::asio::use_awaitable);

/// Interval at which coroutines check for changes of the fleet's state.
inline constexpr absl::Duration poll_interval = absl::Milliseconds(5);

/// The value of a header; empty if it is absent.
inline std::string header_value(const fleet_standin::request& in,
                                const char* name) {
  const auto found = in.find(name);
  return found == in.end() ? "" : std::string(found->value());
}

/// A response without headers.
inline fleet_standin::response make_response(unsigned status,
                                             const std::string& body) {
  constexpr unsigned http_11 = 11;
  fleet_standin::response out(static_cast<boost::beast::http::status>(status),
                              http_11);
  out.body() = body;
  return out;
}

inline boost::asio::awaitable<void> sleep_for(absl::Duration time) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
  timer.expires_after(absl::ToChronoNanoseconds(time));
  co_await timer.async_wait(use_tuple);
}

}  // namespace spokesail::standin
