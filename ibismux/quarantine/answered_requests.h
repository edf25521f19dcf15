#ifndef IBISMUX_QUARANTINE_ANSWERED_REQUESTS_H_
#define IBISMUX_QUARANTINE_ANSWERED_REQUESTS_H_

#include <cstddef>
#include <deque>
#include <set>

#include "ibismux/quarantine/request_digest.h"

namespace ibismux::quarantine {

/// The requests that leafs have answered lately, which are not expected to end
/// leafs. Holds the last `kMaxRequests`, in about 400 KB.
///
/// Not thread safe.
class AnsweredRequests {
 public:
  static constexpr std::size_t kMaxRequests = 4096;

  void add(const RequestDigest& digest) {
    if (!this->digests.insert(digest).second) {
      return;
    }
    this->order.push_back(digest);
    if (this->order.size() > kMaxRequests) {
      this->digests.erase(this->order.front());
      this->order.pop_front();
    }
  }

  /// A leaf has ended during the request.
  void remove(const RequestDigest& digest) {
    if (this->digests.erase(digest) > 0) {
      std::erase(this->order, digest);
    }
  }

  [[nodiscard]] bool contains(const RequestDigest& digest) const {
    return this->digests.contains(digest);
  }

 private:
  std::set<RequestDigest> digests;
  std::deque<RequestDigest> order;  ///< The oldest first.
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_ANSWERED_REQUESTS_H_
