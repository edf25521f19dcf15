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

/// The number of daemons listed in the store as contacts for starting daemons.
/// Some may be gone at any time; one that answers is enough, because it knows
/// the other members.
inline constexpr std::size_t kContactSlots = 5;

/// Returns the slot that a daemon should occupy according to its view of the
/// fleet, if any. The first members in the order of a hash have one each. A
/// daemon that knows no other member picks a slot by a hash of its own name, so
/// that the first daemons of a fleet that starts at once don't all write.
/// Thread safe.
[[nodiscard]] std::optional<std::size_t> slot_of(
    const membership::MembershipView& view);

/// Returns whether `fresh` should replace `stored`: the name, address or zone
/// differs, or the size of the fleet has changed by more than 10 %. Thread
/// safe.
[[nodiscard]] bool should_replace(const store::HostEntry& fresh,
                                  const store::HostEntry& stored);

/// Maintains the contact entries of the fleet in the store. Daemons have no
/// other way to discover each other. Each entry also holds the size of the
/// fleet, so that a daemon that starts together with all others, after an
/// outage, opens only its share of leafs' connections from its first request
/// on.
///
/// There are `kContactSlots` objects with fixed names, whatever the size of the
/// fleet. An object is written only if the daemon that should occupy the slot
/// isn't in it, or if the size of the fleet has changed. So a restart of the
/// whole fleet writes nothing, and the number of calls to the store doesn't
/// grow with the fleet.
///
/// Runs on one event loop; not thread safe.
class ContactSlots : public std::enable_shared_from_this<ContactSlots> {
 public:
  struct Self {
    std::string name;
    std::string endpoint;  ///< "ip:port" where peers are accepted.
    std::string zone;
  };
  using ViewSource = std::function<membership::MembershipView()>;

  /// All references must outlive this object.
  ContactSlots(boost::asio::io_context& loop,
               store::ObjectStore& store,
               std::string collection,
               Self self,
               ViewSource view,
               eventlog::EventLog& log);

  /// Starts the periodic checks. Called once.
  void start(std::uint64_t seed);

 private:
  [[nodiscard]] static Task<void> run(std::shared_ptr<ContactSlots> self,
                                      std::uint64_t seed);
  /// @param first Whether this is the first check after the daemon's start.
  [[nodiscard]] static Task<void> check(std::shared_ptr<ContactSlots> self,
                                        bool first);
  [[nodiscard]] bool replaces(const store::HostEntry& fresh,
                              const store::StoredObject& stored);
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
