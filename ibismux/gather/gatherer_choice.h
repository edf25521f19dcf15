#ifndef IBISMUX_GATHER_GATHERER_CHOICE_H_
#define IBISMUX_GATHER_GATHERER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ibismux/base/time.h"

namespace ibismux::gather {

/// Decides which peer gathers the next query of this daemon, by the peers'
/// offers and by what became of former queries.
///
/// An offer holds for a moment only: a peer that has been cut off, stopped or
/// lost is left out within `kOfferHolds`, and one that doesn't take a query up
/// at once is left out before that.
///
/// No sockets, no clock of its own; not thread safe. The times given never go
/// back.
class GathererChoice {
 public:
  /// How long an offer counts; several times the pause between two.
  static constexpr std::chrono::milliseconds kOfferHolds{600};

  struct Pick {
    std::string member;
    std::uint64_t offer = 0;
  };

  /// @param room How many queries more the peer takes; 0 withdraws the offer.
  void on_offer(const std::string& member,
                std::uint64_t sequence,
                std::size_t room,
                TimePoint now);

  /// The peer to which the next query goes; it counts as under way there until
  /// `on_end()`. Nothing: the query is gathered here.
  [[nodiscard]] std::optional<Pick> choose(TimePoint now);
  [[nodiscard]] bool has_choice(TimePoint now) const;

  /// @name What becomes of a query
  /// @{
  void on_taken(const std::string& member);
  /// The peer didn't take it; it is left out until its next offer.
  void on_refused(const std::string& member);
  /// No confirmation has come; the peer is left out for a while, longer each
  /// time.
  void on_silent(const std::string& member, TimePoint now);
  /// The query has ended, in whatever way.
  void on_end(const std::string& member);
  /// @}

 private:
  // After a query that was not taken up in time.
  static constexpr std::chrono::milliseconds kFirstRest{500};
  static constexpr std::chrono::milliseconds kLongestRest{4000};

  struct Gatherer {
    std::uint64_t offer = 0;
    std::size_t room = 0;
    TimePoint offered_at = TimePoint::min();
    std::size_t under_way = 0;
    Duration rest{0};
    TimePoint rests_until = TimePoint::min();
  };
  using Row = std::map<std::string, Gatherer>::value_type;

  [[nodiscard]] static bool is_open(const Gatherer& gatherer, TimePoint now);
  void forget_old(TimePoint now);

  std::map<std::string, Gatherer> gatherers;
  std::string last;  ///< The one chosen last: of equal ones others go first.
};

}  // namespace ibismux::gather

#endif  // IBISMUX_GATHER_GATHERER_CHOICE_H_
