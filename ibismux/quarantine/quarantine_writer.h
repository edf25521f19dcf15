#ifndef IBISMUX_QUARANTINE_QUARANTINE_WRITER_H_
#define IBISMUX_QUARANTINE_QUARANTINE_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/quarantine/quarantine_table.h"
#include "ibismux/store/object_store.h"

namespace ibismux::quarantine {

/// Writes this daemon's evidence against requests to the store, one object per
/// request, so that all daemons get it, including those that start later.
///
/// Writes are conditional on the version, so that the evidence of several
/// daemons against one request is merged. While the store is unavailable,
/// changes remain in the table, whose size is bounded.
///
/// Belongs to one event loop; not thread safe.
class QuarantineWriter : public std::enable_shared_from_this<QuarantineWriter> {
 public:
  /// All references outlive this object.
  /// @param seed Differs between daemons.
  QuarantineWriter(boost::asio::io_context& loop,
                   store::ObjectStore& store,
                   std::string collection,
                   QuarantineTable& table,
                   eventlog::EventLog& log,
                   std::uint64_t seed);

  /// Starts writing. Call once.
  void start();

 private:
  using Change = QuarantineTable::Change;

  [[nodiscard]] static Task<void> run(std::shared_ptr<QuarantineWriter> self);
  [[nodiscard]] static Task<void> pause(std::shared_ptr<QuarantineWriter> self,
                                        Duration time);
  /// Waits until the changes are due to be written.
  [[nodiscard]] static Task<void> await_due(
      std::shared_ptr<QuarantineWriter> self);
  /// Delay before changes that aren't urgent are written.
  [[nodiscard]] Duration write_delay(const std::vector<Change>& changes);
  /// Writes all changes.
  /// @return False if a call to the store failed; to be retried later.
  [[nodiscard]] static Task<bool> write_all(
      std::shared_ptr<QuarantineWriter> self);
  [[nodiscard]] static Task<bool> write(std::shared_ptr<QuarantineWriter> self,
                                        Change change);
  /// Reads the current object after a conditional write or removal has failed.
  [[nodiscard]] static Task<bool> read_back(
      std::shared_ptr<QuarantineWriter> self,
      RequestDigest digest);
  /// Removes one object if there are too many.
  [[nodiscard]] static Task<void> evict_excess(
      std::shared_ptr<QuarantineWriter> self);
  void log_written(const Change& change, std::string_view reason);

  boost::asio::io_context& loop;
  store::ObjectStore& store;
  const std::string collection;
  QuarantineTable& table;
  eventlog::EventLog& log;
  pcg32 random;
  http::Timer timer;
};

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_QUARANTINE_WRITER_H_
