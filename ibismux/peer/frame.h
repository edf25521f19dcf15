#ifndef IBISMUX_PEER_FRAME_H_
#define IBISMUX_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibismux::peer {

/// What role a frame plays; the `flags` octet on the wire.
enum class FrameRole : std::uint8_t {
  kNotify = 0,
  kRequest = 1,
  kResponse = 2,
  kErrorResponse = 3,
  kHello = 4,
  kGoodbye = 5,  ///< The sender starts nothing more on this connection.
};

/// What precedes each payload: u32 length, u8 kind, u8 role, u64 correlation,
/// most significant byte first.
struct FrameHeader {
  static constexpr std::size_t kBytes = 14;

  std::uint32_t length = 0;
  std::uint8_t kind = 0;
  FrameRole role = FrameRole::kNotify;
  std::uint64_t correlation = 0;
};

/// Correlation of a hello; tells a peer from a stray client at once.
inline constexpr std::uint64_t kHelloMagic = 0x69626973'6d757831;  // "ibismux1"

/// The version of the frames and of the messages in them. Both sides must have
/// the same.
inline constexpr std::int32_t kProtocolVersion = 1;

/// Longest payload of a hello, in bytes.
inline constexpr std::size_t kMostHelloBytes = 1024;

/// Appends one frame to `out`. Thread safe.
void append_frame(std::string& out,
                  std::uint8_t kind,
                  FrameRole role,
                  std::uint64_t correlation,
                  std::string_view payload);

/// Reads `FrameHeader::kBytes` bytes at `bytes`; nothing if the role is
/// unknown. The length is not judged. Thread safe.
[[nodiscard]] std::optional<FrameHeader> parse_header(
    const char* bytes) noexcept;

}  // namespace ibismux::peer

#endif  // IBISMUX_PEER_FRAME_H_
