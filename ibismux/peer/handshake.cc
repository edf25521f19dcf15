#include "ibismux/peer/handshake.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "ibismux/peer/gen/peer_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::peer {

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

Introduction introduction_of(const wire::Hello& hello) {
  Introduction introduction;
  introduction.version = hello.version;
  introduction.cluster = hello.cluster;
  introduction.self = {hello.member,
                       static_cast<std::uint64_t>(hello.incarnation)};
  introduction.zone = hello.zone;
  introduction.refusal = hello.refusal;
  return introduction;
}

}  // namespace

std::string reason_to_refuse(const Introduction& ours,
                             const Introduction& theirs) {
  if (theirs.version != ours.version) {
    return "protocol version " + std::to_string(theirs.version) +
           ", expected " + std::to_string(ours.version);
  }
  if (theirs.cluster != ours.cluster) {
    return "cluster '" + theirs.cluster + "', expected '" + ours.cluster + "'";
  }
  if (theirs.self.member.empty()) {
    return "no member name";
  }
  if (theirs.self == ours.self) {
    return "connected to itself";
  }
  if (theirs.self.member == ours.self.member) {
    return "member name '" + ours.self.member + "' is taken";
  }
  return "";
}

Task<Result<void>> send_introduction(boost::asio::ip::tcp::socket& socket,
                                     Introduction introduction) {
  wire::Hello hello;
  hello.__set_version(introduction.version);
  hello.__set_cluster(introduction.cluster);
  hello.__set_member(introduction.self.member);
  hello.__set_incarnation(static_cast<std::int64_t>(introduction.self.number));
  hello.__set_zone(introduction.zone);
  hello.__set_refusal(introduction.refusal);
  std::string frame;
  append_frame(frame, 0, FrameRole::kHello, kHelloMagic, encode(hello));
  const auto [error, bytes] = co_await boost::asio::async_write(
      socket, boost::asio::buffer(frame), kAwait);
  if (error) {
    co_return fail(ErrorKind::kPeerUnavailable, error.message());
  }
  co_return Result<void>();
}

Task<Result<Introduction>> read_introduction(
    boost::asio::ip::tcp::socket& socket) {
  std::array<char, FrameHeader::kBytes> bytes{};
  const auto [header_error, header_size] = co_await boost::asio::async_read(
      socket, boost::asio::buffer(bytes), kAwait);
  if (header_error) {
    co_return fail(ErrorKind::kPeerUnavailable, header_error.message());
  }
  const auto header = parse_header(bytes.data());
  if (!header || header->role != FrameRole::kHello ||
      header->correlation != kHelloMagic || header->length > kMostHelloBytes) {
    co_return fail(ErrorKind::kProtocolError, "not a hello of ibismux");
  }
  std::string payload(header->length, '\0');
  const auto [error, size] = co_await boost::asio::async_read(
      socket, boost::asio::buffer(payload), kAwait);
  if (error) {
    co_return fail(ErrorKind::kPeerUnavailable, error.message());
  }
  const Result<wire::Hello> hello = decode<wire::Hello>(payload);
  if (!hello) {
    co_return tl::unexpected<Error>(hello.error());
  }
  co_return introduction_of(*hello);
}

}  // namespace ibismux::peer
