#include "ibismux/checkpoint/checkpoint_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::checkpoint {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr milliseconds kCheckInterval{500};
constexpr milliseconds kStoreCallTimeout{1500};

}  // namespace

CheckpointWriter::CheckpointWriter(asio::io_context& loop,
                                   store::ObjectStore& store,
                                   std::string collection,
                                   Sources sources,
                                   eventlog::EventLog& log,
                                   TimePoint started)
    : loop(loop),
      store(store),
      collection(std::move(collection)),
      sources(std::move(sources)),
      log(log),
      schedule(started),
      timer(loop.get_executor()) {}

void CheckpointWriter::start() {
  asio::co_spawn(this->loop, run(this->shared_from_this()), asio::detached);
}

Task<void> CheckpointWriter::run(std::shared_ptr<CheckpointWriter> self) {
  for (;;) {
    self->timer.expires_after(kCheckInterval);
    co_await self->timer.async_wait(asio::use_awaitable);
    const std::uint64_t revision = self->sources.revision();
    if (std::exchange(self->seen_revision, revision) != revision) {
      self->schedule.on_change();
    }
    const CheckpointSchedule::State state = self->sources.state();
    self->schedule.on_state(state, Clock::now());
    if (!state.is_writer) {
      // Another daemon may write from now on.
      self->stored.reset();
      self->schedule.on_change();
    }
    if (!self->schedule.is_due(state, Clock::now())) {
      continue;
    }
    const bool is_stored = co_await update(self);
    if (is_stored) {
      self->schedule.on_stored(Clock::now());
    } else {
      self->schedule.on_failure(Clock::now());
    }
  }
}

Task<bool> CheckpointWriter::update(std::shared_ptr<CheckpointWriter> self) {
  if (!self->stored) {
    const bool answered = co_await read(self);
    if (!answered) {
      co_return false;
    }
  }
  // Leafs may have come or gone during the read.
  if (!self->schedule.is_due(self->sources.state(), Clock::now())) {
    co_return false;
  }
  self->seen_revision = self->sources.revision();
  LeafCheckpoint checkpoint = self->sources.leafs();
  if (checkpoint.leafs.empty() ||
      have_same_leafs(checkpoint, self->stored->checkpoint)) {
    co_return true;
  }
  const bool written = co_await write(self, std::move(checkpoint));
  co_return written;
}

Task<bool> CheckpointWriter::read(std::shared_ptr<CheckpointWriter> self) {
  const auto object = co_await self->store.stale_get(
      self->collection, kCheckpointName, Clock::now() + kStoreCallTimeout);
  if (!object && object.error().kind != ErrorKind::kNotFound) {
    co_return false;
  }
  Stored found{0, {}};
  if (object) {
    // An object that can't be decoded counts as empty and is replaced.
    found.version = object->version;
    found.checkpoint =
        decode_leaf_checkpoint(object->value).value_or(LeafCheckpoint{});
  }
  self->stored = std::move(found);
  co_return true;
}

Task<bool> CheckpointWriter::write(std::shared_ptr<CheckpointWriter> self,
                                   LeafCheckpoint checkpoint) {
  const std::size_t leafs = checkpoint.leafs.size();
  std::string value = encode(checkpoint);
  const std::size_t bytes = value.size();
  if (bytes > kMaxBytes) {
    self->log_written(leafs, bytes, "too large for the store");
    // To be tried again when the leafs change.
    co_return true;
  }
  const auto written = co_await self->store.put(
      self->collection, kCheckpointName, std::move(value),
      self->stored->version, Clock::now() + kStoreCallTimeout);
  self->log_written(leafs, bytes, written ? "" : written.error().message);
  if (!written) {
    // Another daemon has written it, or only the answer was lost.
    self->stored.reset();
    co_return false;
  }
  self->stored = Stored{*written, std::move(checkpoint)};
  co_return true;
}

void CheckpointWriter::log_written(std::size_t leafs,
                                   std::size_t bytes,
                                   std::string_view reason) {
  this->log.event(eventlog::Weight::kBelief, "checkpoint_written")
      .with("leafs", leafs)
      .with("bytes", bytes)
      .with("done", reason.empty())
      .with("reason", reason);
}

}  // namespace ibismux::checkpoint
