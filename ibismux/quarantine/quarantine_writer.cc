#include "ibismux/quarantine/quarantine_writer.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <random>
#include <utility>

#include "ibismux/eventlog/event_log.h"

namespace ibismux::quarantine {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// Most suspects are cleared by the next leaf within this time and need no
// write.
constexpr milliseconds kSuspectWriteDelay{250};
// Mean delay between attempts while the store accepts no writes.
constexpr milliseconds kRetryDelay{500};
constexpr milliseconds kStoreCallTimeout{1500};

// Records that a restored store lacks are written again after a random delay of
// up to this time: one daemon writes first, and the others learn of the object
// before their own delay ends.
constexpr milliseconds kMaxRewriteDelay{5000};

bool was_quarantined(const QuarantineTable::Change& change) {
  return change.record && change.record->times_held > 0;
}

bool is_urgent(const QuarantineTable::Change& change) {
  return was_quarantined(change) && !change.is_known_to_all;
}

}  // namespace

QuarantineWriter::QuarantineWriter(asio::io_context& loop,
                                   store::ObjectStore& store,
                                   std::string collection,
                                   QuarantineTable& table,
                                   eventlog::EventLog& log,
                                   std::uint64_t seed)
    : loop(loop),
      store(store),
      collection(std::move(collection)),
      table(table),
      log(log),
      random(seed),
      timer(loop.get_executor()) {}

void QuarantineWriter::start() {
  this->table.on_dirty([weak = this->weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->timer.cancel();
    }
  });
  asio::co_spawn(this->loop, run(this->shared_from_this()), asio::detached);
}

Task<void> QuarantineWriter::pause(std::shared_ptr<QuarantineWriter> self,
                                   Duration time) {
  self->timer.expires_after(time);
  co_await self->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

Task<void> QuarantineWriter::run(std::shared_ptr<QuarantineWriter> self) {
  constexpr std::chrono::hours kIdleWait{24};
  for (;;) {
    if (self->table.changes().empty()) {
      co_await pause(self, kIdleWait);
      continue;
    }
    co_await await_due(self);
    const bool done = co_await write_all(self);
    if (!done) {
      const double factor =
          std::uniform_real_distribution<double>(0.5, 1.5)(self->random);
      co_await pause(self, scaled(kRetryDelay, factor));
    }
  }
}

Task<void> QuarantineWriter::await_due(std::shared_ptr<QuarantineWriter> self) {
  const TimePoint due = Clock::now() + self->write_delay(self->table.changes());
  for (;;) {
    const auto changes = self->table.changes();
    const TimePoint now = Clock::now();
    if (now >= due || std::any_of(changes.begin(), changes.end(), &is_urgent)) {
      co_return;
    }
    // Each new change ends the pause early.
    co_await pause(self, due - now);
  }
}

Duration QuarantineWriter::write_delay(const std::vector<Change>& changes) {
  const bool only_lost =
      std::all_of(changes.begin(), changes.end(),
                  [](const Change& change) { return change.is_known_to_all; });
  if (!only_lost) {
    return kSuspectWriteDelay;
  }
  const double factor =
      std::uniform_real_distribution<double>(0, 1)(this->random);
  return scaled(kMaxRewriteDelay, factor);
}

Task<bool> QuarantineWriter::write_all(std::shared_ptr<QuarantineWriter> self) {
  auto changes = self->table.changes();
  std::stable_partition(changes.begin(), changes.end(), &was_quarantined);
  for (const Change& pending : changes) {
    // The request may have been cleared while other changes were written.
    const auto change = self->table.change(pending.digest);
    if (!change) {
      continue;
    }
    const bool done = co_await write(self, *change);
    if (!done) {
      co_return false;
    }
  }
  co_return true;
}

Task<bool> QuarantineWriter::write(std::shared_ptr<QuarantineWriter> self,
                                   Change change) {
  const TimePoint deadline = Clock::now() + kStoreCallTimeout;
  const std::string name = change.digest.text();
  Result<store::Version> result = store::Version{0};
  if (change.record) {
    auto put =
        co_await self->store.put(self->collection, name, encode(*change.record),
                                 change.stored_version, deadline);
    result = std::move(put);
  } else {
    auto removed = co_await self->store.remove(self->collection, name,
                                               change.stored_version, deadline);
    if (!removed && removed.error().kind != ErrorKind::kNotFound) {
      result = tl::unexpected(std::move(removed.error()));
    }
  }
  self->log_written(change, result ? "" : result.error().message);
  if (result) {
    self->table.mark_written(change, *result);
    if (change.record && change.stored_version == 0) {
      co_await evict_excess(self);
    }
    co_return true;
  }
  const bool is_version_conflict =
      result.error().kind == ErrorKind::kConflict ||
      result.error().kind == ErrorKind::kNotFound;
  if (!is_version_conflict) {
    co_return false;
  }
  const bool read = co_await read_back(self, change.digest);
  co_return read;
}

Task<bool> QuarantineWriter::read_back(std::shared_ptr<QuarantineWriter> self,
                                       RequestDigest digest) {
  const auto object = co_await self->store.get(
      self->collection, digest.text(), Clock::now() + kStoreCallTimeout);
  if (!object) {
    const bool absent = object.error().kind == ErrorKind::kNotFound;
    if (absent) {
      self->table.apply_removal(digest);
    }
    co_return absent;
  }
  const auto record = decode_quarantine_record(object->value);
  if (!record) {
    self->log.event(eventlog::Weight::kBelief, "quarantine_unreadable")
        .with("digest", object->name)
        .with("reason", record.error().message);
  }
  // An object that can't be decoded counts as empty and is replaced.
  self->table.apply_object(digest, record.value_or(QuarantineRecord{}),
                           object->version, unix_now());
  co_return true;
}

Task<void> QuarantineWriter::evict_excess(
    std::shared_ptr<QuarantineWriter> self) {
  const auto candidate = self->table.eviction_candidate();
  if (!candidate) {
    co_return;
  }
  const auto removed = co_await self->store.remove(
      self->collection, candidate->digest.text(), candidate->stored_version,
      Clock::now() + kStoreCallTimeout);
  self->log_written(*candidate, removed ? "" : removed.error().message);
  if (removed) {
    self->table.mark_written(*candidate, 0);
  }
}

void QuarantineWriter::log_written(const Change& change,
                                   std::string_view reason) {
  this->log.event(eventlog::Weight::kBelief, "quarantine_written")
      .with("digest", change.digest.text())
      .with("leaf_runs", change.record ? change.record->leaf_runs.size() : 0)
      .with("times_held", change.record ? change.record->times_held : 0)
      .with("version", store::version_text(change.stored_version))
      .with("done", reason.empty())
      .with("reason", reason);
}

}  // namespace ibismux::quarantine
