#ifndef IBISMUX_CUSTOMERS_OWNER_CANDIDATE_H_
#define IBISMUX_CUSTOMERS_OWNER_CANDIDATE_H_

#include <string>

namespace ibismux::customers {

/// A daemon that may own limits of customers.
struct OwnerCandidate {
  std::string name;
  std::string zone;
  bool leaving = false;  ///< It has announced that it leaves.

  [[nodiscard]] bool operator==(const OwnerCandidate&) const = default;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_OWNER_CANDIDATE_H_
