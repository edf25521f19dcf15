#ifndef STANDINS_LEAF_LEAF_CONNECTION_H_
#define STANDINS_LEAF_LEAF_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "standins/leaf/leaf.h"

namespace fake_leaf {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// One client's connection to a leaf. Belongs to the leaf's event loop.
class LeafConnection {
 public:
  LeafConnection(Leaf& leaf, boost::asio::ip::tcp::socket socket);
  ~LeafConnection();

  static boost::asio::awaitable<void> run(std::shared_ptr<LeafConnection> self);

  /// Whether the client has not closed the connection.
  [[nodiscard]] bool client_there() const;
  void close();

 private:
  boost::asio::awaitable<void> pause(double milliseconds);
  boost::asio::awaitable<void> handle(const HttpRequest& request);
  boost::asio::awaitable<void> execute(const HttpRequest& request);
  boost::asio::awaitable<void> serve(Call& call);
  boost::asio::awaitable<bool> work(Call& call);
  boost::asio::awaitable<void> answer(Call& call);
  boost::asio::awaitable<void> refuse(int status, std::string_view reason);
  boost::asio::awaitable<void> stopped(const Call& call, bool ran);
  boost::asio::awaitable<void> write(HttpResponse response);
  [[nodiscard]] std::string result(const Call& call) const;

  Leaf& leaf;
  mutable boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
};

}  // namespace fake_leaf

#endif  // STANDINS_LEAF_LEAF_CONNECTION_H_
