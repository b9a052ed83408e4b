#include "server-dialer.h"

#include "http-fetch.h"

namespace spokesail {

boost::asio::awaitable<boost::system::error_code> tcp_dialer::dial(
    boost::asio::ip::tcp::socket& socket, std::string address) {
  co_return co_await connect_to(socket, address);
}

}  // namespace spokesail
