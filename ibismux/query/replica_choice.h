#ifndef IBISMUX_QUERY_REPLICA_CHOICE_H_
#define IBISMUX_QUERY_REPLICA_CHOICE_H_

#include <cstdint>
#include <optional>
#include <span>

#include "ibismux/base/time.h"
#include "ibismux/query/pinned_snapshot.h"

namespace ibismux::query {

/// Selects the replica of a shard that a call is sent to.
///
/// Thread safe; holds no state.
class ReplicaChoice {
 public:
  virtual ~ReplicaChoice() = default;

  /// @param candidates Indexes into the release's leafs. At least one; none of
  /// these leafs is leaving.
  /// @param random Uniformly distributed over all values of the type.
  /// @return One of the candidates.
  [[nodiscard]] virtual std::uint32_t choose(
      const PinnedSnapshot& pin,
      std::span<const std::uint32_t> candidates,
      std::uint64_t random,
      TimePoint now) const = 0;
};

/// Selects a replica at random, regardless of cost. The baseline against which
/// other choices are compared.
class RandomReplica final : public ReplicaChoice {
 public:
  [[nodiscard]] std::uint32_t choose(const PinnedSnapshot& pin,
                                     std::span<const std::uint32_t> candidates,
                                     std::uint64_t random,
                                     TimePoint now) const override;
};

/// Selects the cheaper of two random replicas. Choosing the cheapest of all
/// would make all daemons send to the same replica at once.
class CheaperOfTwo final : public ReplicaChoice {
 public:
  [[nodiscard]] std::uint32_t choose(const PinnedSnapshot& pin,
                                     std::span<const std::uint32_t> candidates,
                                     std::uint64_t random,
                                     TimePoint now) const override;
};

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_REPLICA_CHOICE_H_
