#ifndef STANDINS_LEAF_CONTROL_H_
#define STANDINS_LEAF_CONTROL_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "standins/leaf/leaf_connection.h"

namespace fake_leaf {

/// The control port: `PUT /fake/leafs/{name or *}` changes sizes and faults,
/// `GET /fake/stats` reports what each leaf did, `POST /fake/flush` writes the
/// history out.
class Control {
 public:
  Control(boost::asio::io_context& loop,
          const std::string& address,
          std::vector<std::unique_ptr<Leaf>>& leafs,
          History& history);

  [[nodiscard]] std::uint16_t port() const;
  boost::asio::awaitable<void> accept();

  /// Changes one leaf, or all where `name` is `*`.
  /// @return What is wrong, or empty.
  boost::asio::awaitable<std::string> change(std::string name,
                                             boost::json::object change);

 private:
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
  boost::asio::awaitable<HttpResponse> handle(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> put(const HttpRequest& request);
  boost::asio::awaitable<std::string> stats();

  boost::asio::io_context& loop;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<std::unique_ptr<Leaf>>& leafs;
  History& history;
};

}  // namespace fake_leaf

#endif  // STANDINS_LEAF_CONTROL_H_
