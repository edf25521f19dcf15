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

/// Writes what this daemon learns of requests that end leafs to the store, one
/// object a request, from where all daemons have it, also those that start
/// later.
///
/// Writes are conditional: what several daemons saw of one request adds up.
/// While the store is away, changes wait in the table, which is bounded.
///
/// Belongs to one event loop; not thread safe.
class QuarantineWriter : public std::enable_shared_from_this<QuarantineWriter> {
 public:
  /// All references outlive this. @param seed Differs from daemon to daemon.
  QuarantineWriter(boost::asio::io_context& loop,
                   store::ObjectStore& store,
                   std::string collection,
                   QuarantineTable& table,
                   eventlog::EventLog& log,
                   std::uint64_t seed);

  /// Begins. Called once.
  void start();

 private:
  using Change = QuarantineTable::Change;

  [[nodiscard]] static Task<void> run(std::shared_ptr<QuarantineWriter> self);
  [[nodiscard]] static Task<void> pause(std::shared_ptr<QuarantineWriter> self,
                                        Duration time);
  /// Waits until the changes are to be written.
  [[nodiscard]] static Task<void> await_due(
      std::shared_ptr<QuarantineWriter> self);
  /// How long changes that aren't urgent may wait.
  [[nodiscard]] Duration patience(const std::vector<Change>& changes);
  /// Writes all changes. @return False where the store doesn't take them now.
  [[nodiscard]] static Task<bool> write_all(
      std::shared_ptr<QuarantineWriter> self);
  [[nodiscard]] static Task<bool> write(std::shared_ptr<QuarantineWriter> self,
                                        Change change);
  /// Reads what stands where a write met another one.
  [[nodiscard]] static Task<bool> read_back(
      std::shared_ptr<QuarantineWriter> self,
      RequestDigest digest);
  /// Removes the first object where there are too many.
  [[nodiscard]] static Task<void> drop_surplus(
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
