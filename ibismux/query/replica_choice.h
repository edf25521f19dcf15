#ifndef IBISMUX_QUERY_REPLICA_CHOICE_H_
#define IBISMUX_QUERY_REPLICA_CHOICE_H_

#include <cstdint>
#include <optional>
#include <span>

#include "ibismux/base/time.h"
#include "ibismux/query/pin.h"

namespace ibismux::query {

/// Picks the replica of a shard that gets a call.
///
/// Thread safe; holds no state.
class ReplicaChoice {
 public:
  virtual ~ReplicaChoice() = default;

  /// @param candidates Positions in the release's leafs; none of them leaving,
  /// at least one.
  /// @param random Uniform over all values.
  /// @return One of the candidates.
  [[nodiscard]] virtual std::uint32_t choose(
      const Pin& pin,
      std::span<const std::uint32_t> candidates,
      std::uint64_t random,
      TimePoint now) const = 0;
};

/// Any replica, blindly: what the others are measured against.
class RandomReplica final : public ReplicaChoice {
 public:
  [[nodiscard]] std::uint32_t choose(const Pin& pin,
                                     std::span<const std::uint32_t> candidates,
                                     std::uint64_t random,
                                     TimePoint now) const override;
};

/// The cheaper of two replicas picked at random. Unlike the cheapest of all,
/// it doesn't send every daemon to the same one at once.
class CheaperOfTwo final : public ReplicaChoice {
 public:
  [[nodiscard]] std::uint32_t choose(const Pin& pin,
                                     std::span<const std::uint32_t> candidates,
                                     std::uint64_t random,
                                     TimePoint now) const override;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_REPLICA_CHOICE_H_
