#ifndef IBISMUX_RESERVATION_CLAIM_CLIENT_H_
#define IBISMUX_RESERVATION_CLAIM_CLIENT_H_

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ibismux/base/error.h"
#include "ibismux/base/forward.h"
#include "ibismux/base/ids.h"
#include "ibismux/base/rcu_cell.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/membership/forward.h"
#include "ibismux/peer/forward.h"
#include "ibismux/reservation/bucket_operation.h"
#include "ibismux/reservation/forward.h"
#include "ibismux/reservation/reservation_settings.h"

namespace ibismux::reservation {

/// Brings operations on keys to whoever commits them: the bucket's owner, the
/// next in line if that one is cut off or frozen, and at last this daemon
/// itself.
///
/// Thread safe.
class ClaimClient {
 public:
  /// References outlive the client. @param keepers One a bucket.
  ClaimClient(ReservationSettings settings,
              const RcuCell<membership::MembershipView>& members,
              peer::PeerNetwork& peers,
              std::vector<std::shared_ptr<BucketKeeper>> keepers);

  /// Applies `operation`. After an error it may have taken effect all the same;
  /// to submit it again is safe. Errors: kPlatformUnavailable,
  /// kPeerUnavailable, kDeadlineExceeded.
  [[nodiscard]] Task<Result<Verdict>> commit(BucketOperation operation,
                                             TimePoint deadline);

  /// Answers a kClaim or kRecord of a peer.
  [[nodiscard]] Task<Result<std::string>> serve(std::string payload);

  /// Whether the claim that holds `record` is dead: its executor says that it
  /// will never run it. False where the executor doesn't say.
  [[nodiscard]] Task<bool> is_dead(KeyRecord record, TimePoint deadline);

 private:
  std::vector<std::string> candidates(std::uint32_t bucket);
  void mark_slow(const std::string& member);
  Task<Result<Verdict>> commit_at(std::string member,
                                  BucketOperation operation,
                                  TimePoint deadline);

  const ReservationSettings settings;
  const RcuCell<membership::MembershipView>& members;
  peer::PeerNetwork& peers;
  const std::vector<std::shared_ptr<BucketKeeper>> keepers;
  std::mutex mutex;
  std::map<std::string, TimePoint> slow_until;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_CLAIM_CLIENT_H_
