#ifndef IBISMUX_RELAY_RELEASE_FETCHER_H_
#define IBISMUX_RELAY_RELEASE_FETCHER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/relay/messages.h"
#include "ibismux/relay/relay_engine.h"
#include "ibismux/relay/relay_settings.h"
#include "ibismux/release/work_loop.h"
#include "ibismux/store/stored_object.h"

namespace ibismux::peer {
class PeerNetwork;
}

namespace ibismux::store {
class ObjectStore;
}

namespace ibismux::release {
class ReleaseStore;
}

namespace ibismux::relay {

/// Fetches the missing chunks of a release and offers the release to the store,
/// which accepts only complete releases newer than the one in force.
///
/// Thread safe; must outlive its tasks.
class ReleaseFetcher {
 public:
  /// @param work The loop on which releases are put in force.
  ReleaseFetcher(const RelaySettings& settings,
                 peer::PeerNetwork& network,
                 store::ObjectStore& platform,
                 release::ReleaseStore& releases,
                 release::WorkLoop work = nullptr)
      : settings(settings),
        network(network),
        platform(platform),
        releases(releases),
        work(work) {}

  /// Asks `peer` for a newer release and applies it. @return The age of the
  /// peer's knowledge of the platform.
  [[nodiscard]] Task<Result<Duration>> fetch_from_peer(std::string peer);

  /// Applies the release of `head` after fetching missing chunks from `peer`.
  /// @param fetched Chunks that were received with the head.
  /// @return Whether the release is now in force.
  [[nodiscard]] Task<Result<bool>> apply_from_peer(
      std::string peer,
      std::string head,
      std::vector<std::string> fetched = {});

  /// Reads the head from the platform and applies its release. @return The
  /// head's version in the platform; 0 if there is none.
  [[nodiscard]] Task<Result<store::Version>> fetch_from_platform();

  /// Applies the release of `head`. Missing chunks that `batch` doesn't contain
  /// are read from the platform.
  /// @return Whether the release is now in force.
  [[nodiscard]] Task<Result<bool>> apply_from_platform(std::string head,
                                                       store::WatchBatch batch);

  /// The answer to a peer's request. A head or an index chunk is accompanied by
  /// the parts under it that were written after the peer's generation.
  /// Otherwise each level of a release would need another round trip on each
  /// level of the tree.
  [[nodiscard]] FetchAnswer answer(const FetchRequest& request,
                                   Duration age) const;

  /// The origin of the release that this thread is offering to the store. The
  /// store's listener needs it, because it gets only the generation.
  [[nodiscard]] static Origin offer_origin() noexcept;

 private:
  /// The parts contained in the events of a watch, by name.
  using KnownParts = std::map<std::string, std::string>;

  /// Offers the release to the store, on the work loop. The store serializes
  /// concurrent offers and ignores those that are not newer.
  Task<Result<bool>> offer(std::string head,
                           std::vector<std::string> chunks,
                           Origin origin);
  Task<Result<FetchAnswer>> send_request(std::string peer,
                                         FetchRequest request);
  /// Requests the parts named `wanted` from `peer`, repeatedly if they don't
  /// fit in one answer, and appends them to `parts`.
  Task<Result<void>> fetch_parts(std::string peer,
                                 std::vector<std::string> wanted,
                                 std::vector<std::string>& parts);
  /// Appends the parts named `wanted` to `parts`, from `known` or else from the
  /// platform.
  Task<Result<void>> read_parts(std::vector<std::string> wanted,
                                KnownParts& known,
                                std::vector<std::string>& parts);
  /// Adds the part called `name` to `answer` if the store has it and there is
  /// room for it. A part of any size fits if `bytes` is 0.
  /// @return Whether it was added.
  bool add_part(const std::string& name,
                FetchAnswer& answer,
                std::size_t& bytes) const;

  const RelaySettings& settings;
  peer::PeerNetwork& network;
  store::ObjectStore& platform;
  release::ReleaseStore& releases;
  release::WorkLoop work;
};

}  // namespace ibismux::relay

#endif  // IBISMUX_RELAY_RELEASE_FETCHER_H_
