#ifndef IBISMUX_GATHER_GATHERER_SELECTOR_H_
#define IBISMUX_GATHER_GATHERER_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ibismux/base/moving_average.h"
#include "ibismux/base/time.h"
#include "ibismux/dispatch/query_delegate.h"

namespace ibismux::gather {

/// Selects the peer that gathers the next query of this daemon, based on the
/// peers' offers and on the results of earlier queries.
///
/// Offers expire after `kOfferLifetime`, so a peer that is unreachable, stopped
/// or lost is no longer selected after that time. A peer that does not take a
/// query at once is skipped even earlier.
///
/// Uses no sockets and reads no clock; not thread safe. The times passed in
/// must not decrease.
class GathererSelector {
 public:
  /// How long an offer is valid; several times the interval between offers.
  static constexpr std::chrono::milliseconds kOfferLifetime{600};

  using Needs = dispatch::QueryDelegate::Needs;

  struct Selection {
    std::string member;
    std::uint64_t offer = 0;
    /// Time that a message to a peer of another zone and its answer take; zero
    /// for peers of this zone.
    Duration round_trip{0};
  };

  /// @param room How many more queries the peer takes; 0 withdraws the offer.
  /// @param reads_customer Whether the peer passes the customer of a query on
  /// to leafs.
  void on_offer(const std::string& member,
                std::uint64_t sequence,
                std::size_t room,
                bool reads_customer,
                TimePoint now);

  /// The same of a peer in another zone, which reads customers.
  /// @param round_trip Time from the question to this offer.
  void on_distant_offer(const std::string& member,
                        std::uint64_t sequence,
                        std::size_t room,
                        Duration round_trip,
                        TimePoint now);

  /// Returns the peer that gathers the next query, which counts as in flight
  /// there until `on_end()`, or nothing if the query is to be gathered here.
  /// Peers of other zones are selected only if there is none of this zone.
  [[nodiscard]] std::optional<Selection> select(const Needs& needs,
                                                TimePoint now);
  [[nodiscard]] bool has_candidate(const Needs& needs, TimePoint now) const;

  /// @name Results of a query
  /// @{
  void on_taken(const std::string& member);
  /// The peer refused the query; it is skipped until its next offer.
  void on_refused(const std::string& member);
  /// The peer did not report in time that it took the query, or the request to
  /// it failed. It is skipped for a time that doubles with each such query.
  void on_unresponsive(const std::string& member, TimePoint now);
  /// The query has ended, with any result.
  void on_end(const std::string& member);
  /// @}

 private:
  // Limits of the exponential backoff after `on_unresponsive()`.
  static constexpr std::chrono::milliseconds kInitialBackoff{500};
  static constexpr std::chrono::milliseconds kMaxBackoff{4000};

  // The round trip is averaged over about this many offers.
  static constexpr int kAveragedOffers = 8;

  struct Gatherer {
    std::uint64_t offer = 0;
    std::size_t room = 0;
    bool reads_customer = false;
    bool is_distant = false;
    MovingAverage round_trip{kAveragedOffers};
    TimePoint offered_at = TimePoint::min();
    std::size_t in_flight = 0;
    Duration backoff{0};
    TimePoint backoff_until = TimePoint::min();
  };
  using Entry = std::map<std::string, Gatherer>::value_type;

  [[nodiscard]] static bool is_eligible(const Gatherer& gatherer,
                                        const Needs& needs,
                                        TimePoint now);
  void remove_stale(TimePoint now);

  std::map<std::string, Gatherer> gatherers;
  std::string last_selected;  ///< Goes last among equally loaded peers.
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHERER_SELECTOR_H_
