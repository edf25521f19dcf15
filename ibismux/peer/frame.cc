#include "ibismux/peer/frame.h"

#include <boost/endian/conversion.hpp>

namespace ibismux::peer {

namespace {

constexpr std::size_t kKindAt = 4;
constexpr std::size_t kRoleAt = 5;
constexpr std::size_t kCorrelationAt = 6;

}  // namespace

void append_frame(std::string& out,
                  std::uint8_t kind,
                  FrameRole role,
                  std::uint64_t correlation,
                  std::string_view payload) {
  std::array<unsigned char, FrameHeader::kBytes> header;
  boost::endian::store_big_u32(header.data(),
                               static_cast<std::uint32_t>(payload.size()));
  header[kKindAt] = kind;
  header[kRoleAt] = static_cast<unsigned char>(role);
  boost::endian::store_big_u64(header.data() + kCorrelationAt, correlation);
  out.append(reinterpret_cast<const char*>(header.data()), header.size());
  out.append(payload);
}

std::optional<FrameHeader> parse_header(const char* bytes) noexcept {
  const auto* header = reinterpret_cast<const unsigned char*>(bytes);
  if (header[kRoleAt] > static_cast<unsigned char>(FrameRole::kGoodbye)) {
    return std::nullopt;
  }
  FrameHeader parsed;
  parsed.length = boost::endian::load_big_u32(header);
  parsed.kind = header[kKindAt];
  parsed.role = static_cast<FrameRole>(header[kRoleAt]);
  parsed.correlation = boost::endian::load_big_u64(header + kCorrelationAt);
  return parsed;
}

}  // namespace ibismux::peer
