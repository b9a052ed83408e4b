// What the fleet's stand-ins share to serve HTTP on one event loop.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>

#include "fleet-standin.h"

namespace spokesail::standin {

/// Gives errors as the first part of a result.
inline constexpr auto use_tuple =
    boost::asio::as_tuple(boost::asio::use_awaitable);

/// How often the stand-ins look whether something has changed.
inline constexpr absl::Duration tick_time = absl::Milliseconds(5);

/// A header's value; empty if it is not there.
inline std::string text_of(const fleet_standin::request& in, const char* name) {
  const auto found = in.find(name);
  return found == in.end() ? "" : std::string(found->value());
}

/// An answer without headers.
inline fleet_standin::response answer_of(unsigned status,
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
