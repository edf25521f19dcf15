#ifndef IBISMUX_CUSTOMERS_CUSTOMER_TABLE_H_
#define IBISMUX_CUSTOMERS_CUSTOMER_TABLE_H_

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ibismux/customers/customer.h"
#include "ibismux/customers/key_digest.h"

namespace ibismux::customers {

/// The customers of one version of the configuration, by key and by name.
///
/// Immutable; thread safe.
class CustomerTable {
 public:
  /// A customer as the configuration states it.
  struct Entry {
    Customer customer;
    std::vector<KeyDigest> keys;
  };

  /// Leaves out what it can't use: a customer whose name is empty, not
  /// printable, too long or taken, and a key that two customers hold. A limit
  /// that is no number or negative is replaced by no limit.
  /// @param hasher Computed the digests of `entries`.
  /// @param odd Entries that the caller has left out already.
  CustomerTable(KeyHasher hasher,
                std::vector<Entry> entries,
                std::size_t odd = 0);

  /// The customer that holds `key`, or null.
  [[nodiscard]] const Customer* find_by_key(std::string_view key) const;
  [[nodiscard]] const Customer* find_by_name(std::string_view name) const;

  /// The customer's part of what customers compete for: its limit relative to
  /// the mean of all limits, within bounds, or 1 if it has none. Positive.
  [[nodiscard]] double weight_of(const Customer& customer) const noexcept {
    constexpr double kMaxRatio = 100;
    return customer.limit.is_limited()
               ? std::clamp(customer.limit.per_second / this->mean_limit,
                            1 / kMaxRatio, kMaxRatio)
               : 1;
  }

  [[nodiscard]] std::size_t size() const noexcept {
    return this->by_name.size();
  }
  /// How many customers, keys and limits could not be used.
  [[nodiscard]] std::size_t odd_entries() const noexcept { return this->odd; }

 private:
  struct DigestHash {
    [[nodiscard]] std::size_t operator()(
        const KeyDigest& digest) const noexcept {
      std::size_t hash = 0;
      std::memcpy(&hash, digest.data(), sizeof hash);
      return hash;
    }
  };

  void add(Entry entry);

  KeyHasher hasher;
  std::size_t odd;
  double mean_limit = 1;  ///< Of the customers that have one, per second.
  std::map<std::string, Customer, std::less<>> by_name;
  /// Null for a key that two customers hold.
  std::unordered_map<KeyDigest, const Customer*, DigestHash> by_key;
};

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_CUSTOMER_TABLE_H_
