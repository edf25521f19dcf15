#include "ibismux/release/chunk_ref_codec.h"

#include <bit>
#include <charconv>
#include <string_view>

#include "ibismux/release/gen/release_types.h"

namespace ibismux::release {
namespace {

constexpr std::size_t kHashBytes = 16;

/// The digits of `bytes`, and back. Sixteen bytes travel, since at many chunks
/// their hashes are most of a head.
std::string to_digits(const std::string& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string digits;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    digits += kDigits[byte >> 4];
    digits += kDigits[byte & 15];
  }
  return digits;
}

std::string to_bytes(const std::string& digits) {
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    unsigned char byte = 0;
    std::from_chars(&digits[i], &digits[i] + 2, byte, 16);
    bytes += static_cast<char>(byte);
  }
  return bytes;
}

}  // namespace

std::vector<gen::ChunkRef> to_wire(const std::vector<ChunkRef>& refs) {
  std::vector<gen::ChunkRef> wire;
  wire.reserve(refs.size());
  for (const ChunkRef& ref : refs) {
    gen::ChunkRef row;
    row.generation = static_cast<std::int64_t>(ref.generation);
    row.hash = to_bytes(ref.hash);
    wire.push_back(std::move(row));
  }
  return wire;
}

Result<std::vector<ChunkRef>> from_wire(
    const std::vector<gen::ChunkRef>& wire) {
  if (!wire.empty() && !std::has_single_bit(wire.size())) {
    return fail(ErrorKind::kProtocolError, "chunks that are no power of two");
  }
  std::vector<ChunkRef> refs;
  refs.reserve(wire.size());
  for (const gen::ChunkRef& row : wire) {
    if (!row.hash.empty() && row.hash.size() != kHashBytes) {
      return fail(ErrorKind::kProtocolError, "chunk with a malformed hash");
    }
    refs.push_back(
        {static_cast<Generation>(row.generation), to_digits(row.hash)});
  }
  return refs;
}

}  // namespace ibismux::release
