#ifndef IBISMUX_PEER_THRIFT_CODEC_H_
#define IBISMUX_PEER_THRIFT_CODEC_H_

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>

#include "ibismux/base/error.h"

namespace ibismux::peer {

/// A message larger than this is refused before it is decoded.
inline constexpr std::size_t kMostMessageBytes = 4 * 1024 * 1024;

/// `message` in Thrift's compact protocol. `T` is a generated struct.
/// Thread safe.
template <class T>
[[nodiscard]] std::string encode(const T& message) {
  using apache::thrift::transport::TMemoryBuffer;
  auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

/// The message that `bytes` hold, or kProtocolError. Never throws; a length
/// field that claims more than `bytes` holds is refused, not allocated.
/// Thread safe.
template <class T>
[[nodiscard]] Result<T> decode(const std::string& bytes) {
  using apache::thrift::transport::TMemoryBuffer;
  if (bytes.size() > kMostMessageBytes) {
    return fail(ErrorKind::kProtocolError, "message too large");
  }
  try {
    auto config = std::make_shared<apache::thrift::TConfiguration>(
        static_cast<int>(kMostMessageBytes));
    auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data())),
        static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE,
        config);
    // A container or string longer than the message itself can't be honest.
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<std::int32_t>(bytes.size()),
        static_cast<std::int32_t>(bytes.size()));
    T message;
    message.read(&protocol);
    return message;
  } catch (const std::exception& error) {
    return fail(ErrorKind::kProtocolError, error.what());
  }
}

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_THRIFT_CODEC_H_
