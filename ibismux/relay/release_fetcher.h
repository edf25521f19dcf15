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

/// Brings a head's missing chunks together and offers the release to the
/// store, which takes only what is newer and whole.
///
/// Thread safe; must outlive its tasks.
class ReleaseFetcher {
 public:
  /// @param work Where releases are put in force.
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

  /// Asks `peer` for what is newer and takes it. @return How old the peer's
  /// knowledge of the platform is.
  [[nodiscard]] Task<Result<Duration>> from_peer(std::string peer);

  /// Takes the release of `head`, with the chunks it lacks from `peer`.
  /// @param fetched Chunks that came with the head.
  [[nodiscard]] Task<Result<bool>> take_from_peer(
      std::string peer,
      std::string head,
      std::vector<std::string> fetched = {});

  /// Reads the head in the platform and takes it. @return Its version there; 0
  /// if there is none.
  [[nodiscard]] Task<Result<store::Version>> from_platform();

  /// Takes the release of `head`, with chunks from `batch` where it has them,
  /// else from the platform.
  [[nodiscard]] Task<Result<bool>> take_from_platform(std::string head,
                                                      store::WatchBatch batch);

  /// The answer to a peer's request. With a head, and with an index chunk, goes
  /// what is under it that the peer can't have: else each level of a release
  /// would cost a round trip on each level of the tree.
  [[nodiscard]] FetchAnswer answer(const FetchRequest& request,
                                   Duration age) const;

  /// Where the release comes from that this thread is offering to the store.
  /// The store's listener is called with the generation alone.
  [[nodiscard]] static Origin offering() noexcept;

 private:
  /// What the events of a watch showed, by name.
  using KnownParts = std::map<std::string, std::string>;

  /// Offers the release to the store, on the work loop. Of several at a time
  /// the store takes one after another, and none that is not newer.
  Task<Result<bool>> offer(std::string head,
                           std::vector<std::string> chunks,
                           Origin origin);
  Task<Result<FetchAnswer>> ask(std::string peer, FetchRequest request);
  /// Appends the parts named `wanted`, in one or more answers of `peer`.
  Task<Result<void>> fetch(std::string peer,
                           std::vector<std::string> wanted,
                           std::vector<std::string>& parts);
  /// Appends the parts named `wanted`, out of `known` or the platform.
  Task<Result<void>> read(std::vector<std::string> wanted,
                          KnownParts& known,
                          std::vector<std::string>& parts);
  /// Adds the part of that name to `answer`, if it is here and there is room.
  bool add(const std::string& name,
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
