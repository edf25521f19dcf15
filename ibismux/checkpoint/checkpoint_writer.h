#ifndef IBISMUX_CHECKPOINT_CHECKPOINT_WRITER_H_
#define IBISMUX_CHECKPOINT_CHECKPOINT_WRITER_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "ibismux/base/task.h"
#include "ibismux/base/time.h"
#include "ibismux/checkpoint/checkpoint_schedule.h"
#include "ibismux/checkpoint/leaf_checkpoint.h"
#include "ibismux/eventlog/forward.h"
#include "ibismux/http/socket.h"
#include "ibismux/store/object_store.h"

namespace ibismux::checkpoint {

/// Name of the one object of the checkpoint collection.
inline constexpr const char* kCheckpointName = "leafs";

/// Keeps the checkpoint of leafs in the store up to date while this daemon is
/// its writer, as `CheckpointSchedule` decides.
///
/// The stored object is read before the first write and after a write that
/// failed, and replaced only if it holds other leafs. Writes are conditional on
/// its version. A state without any leaf is not written.
///
/// Belongs to one event loop; not thread safe.
class CheckpointWriter : public std::enable_shared_from_this<CheckpointWriter> {
 public:
  /// Longest value that is written; the store refuses longer ones.
  static constexpr std::size_t kMaxBytes = 1'000'000;

  /// Asks the daemon; called on the loop.
  struct Sources {
    std::function<CheckpointSchedule::State()> state;
    /// Rises with each change that the checkpoint would show.
    std::function<std::uint64_t()> revision;
    std::function<LeafCheckpoint()> leafs;
  };

  /// All references must outlive this object.
  /// @param started When the process has started.
  CheckpointWriter(boost::asio::io_context& loop,
                   store::ObjectStore& store,
                   std::string collection,
                   Sources sources,
                   eventlog::EventLog& log,
                   TimePoint started);

  /// Starts writing. Call once.
  void start();

 private:
  [[nodiscard]] static Task<void> run(std::shared_ptr<CheckpointWriter> self);
  /// Replaces the stored object if it holds other leafs than the daemon knows.
  /// @return Whether the store then holds them.
  [[nodiscard]] static Task<bool> update(
      std::shared_ptr<CheckpointWriter> self);
  /// Reads the stored object. @return Whether the store answered.
  [[nodiscard]] static Task<bool> read(std::shared_ptr<CheckpointWriter> self);
  [[nodiscard]] static Task<bool> write(std::shared_ptr<CheckpointWriter> self,
                                        LeafCheckpoint checkpoint);
  void log_written(std::size_t leafs,
                   std::size_t bytes,
                   std::string_view reason);

  /// The object in the store, as far as this daemon knows.
  struct Stored {
    store::Version version;  ///< 0: there is none.
    LeafCheckpoint checkpoint;
  };

  boost::asio::io_context& loop;
  store::ObjectStore& store;
  const std::string collection;
  const Sources sources;
  eventlog::EventLog& log;
  CheckpointSchedule schedule;
  std::uint64_t seen_revision = 0;
  std::optional<Stored> stored;  ///< Absent: to be read.
  http::Timer timer;
};

}  // namespace ibismux::checkpoint

#endif  // IBISMUX_CHECKPOINT_CHECKPOINT_WRITER_H_
