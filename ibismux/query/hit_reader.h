#ifndef IBISMUX_QUERY_HIT_READER_H_
#define IBISMUX_QUERY_HIT_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibismux::query {

/// A hit of a leaf's answer. Its strings refer to buffers of the `HitReader`.
struct HitRef {
  std::string_view id;
  double score = 0;
  std::string_view text;
};

/// Parses the hits of a leaf's answer in the format of docs/LEAFS.md.
///
/// Not thread safe. Reusing one reader for many answers reuses its buffers.
class HitReader {
 public:
  /// @return All hits, valid until the next call; `std::nullopt` if `body` is
  /// malformed.
  [[nodiscard]] std::optional<std::vector<HitRef>> read(std::string_view body);

 private:
  std::string texts;  ///< The concatenated strings of all hits.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_HIT_READER_H_
