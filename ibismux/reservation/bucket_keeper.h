#ifndef IBISMUX_RESERVATION_BUCKET_KEEPER_H_
#define IBISMUX_RESERVATION_BUCKET_KEEPER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>

#include "ibismux/base/error.h"
#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/reservation/bucket_operation.h"
#include "ibismux/reservation/bucket_writer.h"
#include "ibismux/reservation/forward.h"
#include "ibismux/store/forward.h"

namespace ibismux::reservation {

class ReservationMetrics;

/// Carries out the steps of one bucket's writer on the platform.
///
/// Its state belongs to one event loop; `commit()` may be called on any.
class BucketKeeper : public std::enable_shared_from_this<BucketKeeper> {
 public:
  /// References outlive every use.
  BucketKeeper(std::uint32_t bucket,
               ReservationSettings settings,
               boost::asio::any_io_executor loop,
               store::ObjectStore& store,
               ReservationMetrics& metrics);

  /// Applies one operation and waits for its group's commit, up to `deadline`.
  /// After an error it may have taken effect all the same; to submit it again
  /// is safe. Errors: kPlatformUnavailable, kDeadlineExceeded. Thread safe.
  [[nodiscard]] Task<Result<Verdict>> commit(BucketOperation operation,
                                             TimePoint deadline);

 private:
  struct Pending;

  Task<Result<Verdict>> commit_here(BucketOperation operation,
                                    TimePoint deadline);
  static Task<> run(std::shared_ptr<BucketKeeper> self);
  Task<> perform(BucketWriter::Step step);
  void wake();
  void deliver();

  const boost::asio::any_io_executor loop;
  store::ObjectStore& store;
  ReservationMetrics& metrics;
  BucketWriter writer;
  boost::asio::steady_timer timer;
  bool running = false;
  std::map<std::uint64_t, std::shared_ptr<Pending>> pending;
};

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_BUCKET_KEEPER_H_
