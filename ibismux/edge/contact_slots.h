#ifndef IBISMUX_EDGE_CONTACT_SLOTS_H_
#define IBISMUX_EDGE_CONTACT_SLOTS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/membership/membership_view.h"
#include "ibismux/store/host_entry.h"
#include "ibismux/store/object_store.h"

namespace ibismux::edge {

/// How many daemons stand in the store as contacts for those that start. Some
/// may be gone at any time; one that answers is enough, as it knows the rest.
inline constexpr std::size_t kContactSlots = 5;

/// Which slot a daemon should stand in, by its view of the fleet: the first
/// members in the order of a hash have one each. A daemon that has met nobody
/// takes one by a hash of its own name, so that the first ones of a fleet that
/// all start at once don't all write. Thread safe.
[[nodiscard]] std::optional<std::size_t> slot_of(
    const membership::MembershipView& view);

/// Whether `fresh` should take the place of `standing`: that is another
/// daemon's, or the fleet has become larger or smaller by a good part. Thread
/// safe.
[[nodiscard]] bool should_replace(const store::HostEntry& fresh,
                                  const store::HostEntry& standing);

/// Keeps the contact points of the fleet in the store: daemons have no other
/// way to find each other. Each tells how large the fleet is, too: a daemon
/// that starts with all others, after an outage, shares leafs' connections with
/// them from its first request on.
///
/// A handful of objects with fixed names, whatever the size of the fleet, and
/// written only when the daemon that should stand in one doesn't. So a restart
/// of the whole fleet writes nothing, and the store's calls don't grow with it.
///
/// Belongs to one event loop; not thread safe.
class ContactSlots : public std::enable_shared_from_this<ContactSlots> {
 public:
  struct Self {
    std::string name;
    std::string endpoint;  ///< "ip:port" where peers are accepted.
    std::string zone;
  };
  using ViewSource = std::function<membership::MembershipView()>;

  /// All references outlive this.
  ContactSlots(boost::asio::io_context& loop,
               store::ObjectStore& store,
               std::string collection,
               Self self,
               ViewSource view,
               eventlog::EventLog& log);

  /// Begins. Called once.
  void start(std::uint64_t seed);

 private:
  [[nodiscard]] static Task<void> run(std::shared_ptr<ContactSlots> self,
                                      std::uint64_t seed);
  /// @param first The daemon has only just started.
  [[nodiscard]] static Task<void> check(std::shared_ptr<ContactSlots> self,
                                        bool first);
  [[nodiscard]] bool replaces(const store::HostEntry& fresh,
                              const store::StoredObject& standing);
  [[nodiscard]] store::HostEntry entry(
      const membership::MembershipView& view) const;

  boost::asio::io_context& loop;
  store::ObjectStore& store;
  const std::string collection;
  const Self self;
  const ViewSource view;
  eventlog::EventLog& log;
};

}  // namespace ibismux::edge

#endif  // IBISMUX_EDGE_CONTACT_SLOTS_H_
