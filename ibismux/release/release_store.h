#ifndef IBISMUX_RELEASE_RELEASE_STORE_H_
#define IBISMUX_RELEASE_RELEASE_STORE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/release/forward.h"

namespace ibismux::release {

/// The newest release that this daemon knows, in the form that requests read
/// and in the form that peers and the platform exchange: a head, chunks that it
/// names by their content hash, and at large sites index chunks between them.
///
/// Thread safe. The generation only rises.
class ReleaseStore {
 public:
  using Listener = std::function<void(Generation)>;

  ReleaseStore();
  ~ReleaseStore();

  /// @name Reading
  /// @{
  [[nodiscard]] const RcuCell<Release>& releases() const noexcept;
  [[nodiscard]] Generation generation() const noexcept;
  /// The encoded head in force; empty before the first.
  [[nodiscard]] std::string head() const;
  /// A chunk or index chunk of the release in force. `name` is as `missing()`
  /// gives it, which is also its name in the platform's collection `releases`.
  [[nodiscard]] std::optional<std::string> chunk(const std::string& name) const;
  /// The release in force with its objects and their status; never null.
  [[nodiscard]] std::shared_ptr<const ReleaseContents> contents() const;
  /// The names of the chunks and index chunks that the encoded `head` names and
  /// that are neither here nor in `fetched`; an error if it can't be decoded.
  /// What stands under an index chunk is not known before that is fetched: ask
  /// again with what came, `kPartLevels` times at most.
  [[nodiscard]] Result<std::vector<std::string>> missing(
      const std::string& head,
      const std::vector<std::string>& fetched = {}) const;
  /// The names of the parts of the release in force that were written after
  /// generation `have`, which is what a daemon with that release lacks; of
  /// those, the ones under the index chunk `index`, unless that is empty.
  [[nodiscard]] std::vector<std::string> written_since(
      Generation have,
      const std::string& index = "") const;
  /// @}

  /// Puts the release of `head` in force if its generation is higher than the
  /// one in force. `chunks` holds the contents of what was missing.
  /// @return Whether it is now in force; an error, with nothing changed, if a
  /// hash doesn't match or the contents are not a valid release.
  [[nodiscard]] Result<bool> offer(const std::string& head,
                                   const std::vector<std::string>& chunks);

  /// `listener` runs after each swap, on the thread that offered. Set before
  /// the daemon starts. Of two offers on two threads, the later one's call may
  /// come first: read `generation()`.
  void on_change(Listener listener);

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace ibismux::release

#endif  // IBISMUX_RELEASE_RELEASE_STORE_H_
