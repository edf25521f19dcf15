#ifndef TESTS_PEER_RAW_PEER_H_
#define TESTS_PEER_RAW_PEER_H_

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>

#include "ibismux/peer/frame.h"
#include "ibismux/peer/gen/peer_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::peer {

/// A client that says whatever a test wants, on a blocking socket.
class RawPeer {
 public:
  explicit RawPeer(std::uint16_t port) : socket(loop) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
  }

  static wire::Hello hello(const std::string& member) {
    wire::Hello hello;
    hello.__set_version(kProtocolVersion);
    hello.__set_cluster("ibismux");
    hello.__set_member(member);
    hello.__set_incarnation(42);
    return hello;
  }

  void send(const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(this->socket, boost::asio::buffer(bytes), ignored);
  }

  void send_hello(const wire::Hello& hello) {
    std::string frame;
    append_frame(frame, 0, FrameRole::kHello, kHelloMagic, encode(hello));
    this->send(frame);
  }

  /// Reads one frame. @return Its payload; nothing if the connection ended.
  std::optional<std::string> receive() {
    std::array<char, FrameHeader::kBytes> bytes{};
    boost::system::error_code error;
    boost::asio::read(this->socket, boost::asio::buffer(bytes), error);
    const auto header = parse_header(bytes.data());
    if (error || !header) {
      return std::nullopt;
    }
    std::string payload(header->length, '\0');
    boost::asio::read(this->socket, boost::asio::buffer(payload), error);
    return error ? std::nullopt : std::make_optional(payload);
  }

  std::optional<wire::Hello> receive_hello() {
    const auto payload = this->receive();
    const auto hello = decode<wire::Hello>(payload.value_or(""));
    return payload && hello ? std::make_optional(*hello) : std::nullopt;
  }

  /// Waits for the end of the connection.
  bool ended() {
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    while (!error) {
      this->socket.read_some(boost::asio::buffer(bytes), error);
    }
    return true;
  }

  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket;
};

}  // namespace ibismux::peer

#endif  // TESTS_PEER_RAW_PEER_H_
