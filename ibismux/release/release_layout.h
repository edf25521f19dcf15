#ifndef IBISMUX_RELEASE_RELEASE_LAYOUT_H_
#define IBISMUX_RELEASE_RELEASE_LAYOUT_H_

#include <cstddef>

namespace ibismux::release {

/// How a publisher divides a release. Readers take any; only tests change it.
///
/// A change of one object moves its chunk, its index chunk and the head. With n
/// objects of 118 bytes, c chunks and 22 bytes to name one, that is
/// `118 n / c + 2 * 22 * sqrt(c)`, which is flat around its least: at 36,158
/// objects 5.6 KB with 1,024 chunks and 3.9 KB with 4,096. The fewer are
/// written when their number changes, which rewrites all.
struct ReleaseLayout {
  /// Kept within a factor of two.
  std::size_t objects_per_chunk = 32;
  std::size_t fewest_chunks = 16;
  /// With more, the head names index chunks. It must stay short enough to be
  /// pushed whole, and below this an index chunk would save less than a KB.
  std::size_t most_direct_chunks = 64;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_LAYOUT_H_
