#ifndef IBISMUX_QUERY_HIT_READER_H_
#define IBISMUX_QUERY_HIT_READER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibismux::query {

/// A hit as it stands in a leaf's answer, not yet copied.
struct HitRef {
  std::string_view id;
  double score = 0;
  std::string_view text;
};

/// Reads the hits out of a leaf's answer as docs/LEAFS.md gives it.
///
/// Not thread safe. Kept by its owner, so that its buffers serve many answers.
class HitReader {
 public:
  /// @return Every hit, valid until the next call; nothing if `body` is
  /// malformed.
  [[nodiscard]] std::optional<std::vector<HitRef>> read(std::string_view body);

 private:
  std::string texts;  ///< The strings of all hits in a row.
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_HIT_READER_H_
