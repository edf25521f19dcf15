#ifndef IBISMUX_GATEWAY_OWNERSHIP_BUILDER_H_
#define IBISMUX_GATEWAY_OWNERSHIP_BUILDER_H_

#include <memory>
#include <string>
#include <vector>

#include "ibismux/gateway/ownership_table.h"
#include "ibismux/membership/forward.h"
#include "ibismux/release/forward.h"

namespace ibismux::gateway {

/// Puts an `OwnershipTable` together, leaf by leaf. Not thread safe.
class OwnershipBuilder {
 public:
  /// Members keep the positions that they have in `view`.
  /// @param release Whose leafs will be added.
  OwnershipBuilder(const release::Release& release,
                   const membership::MembershipView& view);

  /// The next leaf, with its owners in order; those without connections are
  /// left out.
  void add(const std::string& leaf, const std::vector<LeafOwner>& owners);

  /// The table. Precondition: called once, last.
  [[nodiscard]] std::shared_ptr<const OwnershipTable> build();

 private:
  std::shared_ptr<OwnershipTable> table;
};

}  // namespace ibismux::gateway

#endif  // IBISMUX_GATEWAY_OWNERSHIP_BUILDER_H_
