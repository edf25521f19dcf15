#include "ibismux/release/release_writer.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "ibismux/release/release_contents.h"

namespace ibismux::release {
namespace {

constexpr int kMostAttempts = 8;
constexpr int kMostChunkAttempts = 3;
// A head never grows past this for want of an audit trail: changes then wait.
constexpr std::size_t kMostUnaudited = 2 * kMostChangesAtOnce;

std::int64_t to_unix_millis(WallTime time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             time.time_since_epoch())
      .count();
}

/// The names of `before` that `after` doesn't have.
std::vector<std::string> dropped(const ReleaseContents& before,
                                 const Assembly& after) {
  const std::vector<std::string> kept = names_of(after.head, after.refs);
  const std::set<std::string> index(kept.begin(), kept.end());
  std::vector<std::string> names = names_of(before.head, before.parts.refs);
  std::erase_if(names, [&index](const std::string& name) {
    return index.contains(name);
  });
  return names;
}

std::vector<Change> recent_changes(const std::vector<Change>& before,
                                   const std::vector<Change>& fresh,
                                   std::uint64_t audited) {
  std::vector<Change> changes = before;
  changes.insert(changes.end(), fresh.begin(), fresh.end());
  auto keep = changes.begin();
  auto left = changes.size();
  while (left > kRecentChanges && keep->sequence <= audited) {
    ++keep;
    --left;
  }
  changes.erase(changes.begin(), keep);
  return changes;
}

}  // namespace

ReleaseWriter::ReleaseWriter(store::ObjectStore& store,
                             ReleaseStore& releases,
                             PublisherMetrics& metrics,
                             std::string self,
                             std::chrono::milliseconds timeout,
                             WallClock wall_clock,
                             ReleaseLayout layout,
                             WorkLoop work)
    : store(store),
      releases(releases),
      metrics(metrics),
      self(std::move(self)),
      timeout(timeout),
      wall_clock(std::move(wall_clock)),
      layout(layout),
      work(work) {}

TimePoint ReleaseWriter::deadline() const {
  return Clock::now() + this->timeout;
}

Head ReleaseWriter::next_head(const ReleaseContents& base,
                              const ObjectView& view,
                              const Candidate& candidate,
                              std::uint64_t audited) {
  return Head{
      .generation = base.head.generation + 1,
      .publication = this->self + "-" + std::to_string(++this->publications),
      .objects_version = view.version,
      .change_count = base.head.change_count + candidate.changes.size(),
      .chunks = {},
      .indexes = {},
      .recent = recent_changes(base.head.recent, candidate.changes, audited)};
}

Task<Result<bool>> ReleaseWriter::publish(const ObjectView& view,
                                          std::uint64_t audited) {
  Result<void> done;
  for (int attempt = 0; attempt < kMostAttempts; ++attempt) {
    const auto base = this->releases.contents();
    // Whoever published that release saw all that this view shows, and more: an
    // object that the view doesn't know yet would pass for deleted.
    if (view.version < base->head.objects_version) {
      co_return false;
    }
    const std::int64_t now_ms = to_unix_millis(this->wall_clock());
    auto deciding = [&base, &view, now_ms] {
      return decide(*base, view, now_ms);
    };
    const Candidate candidate = co_await run_on(this->work, deciding);
    this->metrics.rejections(candidate.rejections.size());
    if (!candidate.differs) {
      co_return false;
    }
    if (!this->head.known || this->head.generation != base->head.generation) {
      done = co_await this->refresh();
      if (!done) {
        co_return tl::unexpected<Error>(done.error());
      }
      continue;
    }
    Head next = this->next_head(*base, view, candidate, audited);
    if (next.recent.size() > kMostUnaudited) {
      co_return fail(ErrorKind::kOverloaded,
                     "changes wait for the audit trail");
    }
    auto assembling = [this, &base, &candidate, &next] {
      return assemble(*base, candidate.objects, candidate.rejections, next,
                      this->layout);
    };
    Assembly assembly = co_await run_on(this->work, assembling);
    done = co_await this->advance(std::move(assembly));
    if (done) {
      co_return true;
    }
    if (done.error().kind != ErrorKind::kConflict) {
      co_return tl::unexpected<Error>(done.error());
    }
  }
  co_return fail(ErrorKind::kConflict,
                 "other publishers were first, or the platform's head is "
                 "behind the release in force");
}

Task<Result<void>> ReleaseWriter::advance(Assembly assembly) {
  for (const Assembly::NewChunk& chunk : assembly.chunks) {
    Assembly::NewChunk copy = chunk;
    Result<void> done = co_await this->put_chunk(std::move(copy));
    if (!done) {
      this->metrics.attempted(PublishOutcome::kNotWritten);
      co_return done;
    }
  }
  const auto base = this->releases.contents();
  Result<void> done = co_await this->put_head(assembly);
  if (!done) {
    for (Assembly::NewChunk& chunk : assembly.chunks) {
      this->retired.push_back(std::move(chunk.name));
    }
    co_return done;
  }
  for (std::string& name : dropped(*base, assembly)) {
    this->retired.push_back(std::move(name));
  }
  const std::size_t changes =
      assembly.head.change_count - base->head.change_count;
  this->metrics.accepted(changes);
  LOG(INFO) << "event=release_published generation=" << assembly.head.generation
            << " changes=" << changes << " chunks=" << assembly.chunks.size()
            << " publication=" << assembly.head.publication;
  co_return Result<void>();
}

Task<Result<void>> ReleaseWriter::put_chunk(Assembly::NewChunk chunk) {
  Result<void> done;
  for (int attempt = 0; attempt < kMostChunkAttempts; ++attempt) {
    std::string collection = store::kReleases;
    std::string name = chunk.name;
    std::string value = chunk.bytes;
    const Result<store::Version> version =
        co_await this->store.put(std::move(collection), std::move(name),
                                 std::move(value), 0, this->deadline());
    // A chunk of that name has these contents: an earlier try took effect, or
    // another publisher wrote the same.
    if (version || version.error().kind == ErrorKind::kConflict) {
      co_return Result<void>();
    }
    done = tl::unexpected<Error>(version.error());
    if (version.error().execution == Execution::kNotRun) {
      co_return done;
    }
  }
  co_return done;
}

Task<Result<void>> ReleaseWriter::put_head(const Assembly& assembly) {
  std::string collection = store::kReleases;
  std::string name = kHeadName;
  std::string bytes = encode_head(assembly.head);
  std::string value = bytes;
  const store::Version expected = this->head.version;
  const Result<store::Version> version =
      co_await this->store.put(std::move(collection), std::move(name),
                               std::move(value), expected, this->deadline());
  if (version) {
    this->metrics.attempted(PublishOutcome::kLanded);
    this->head = {true, assembly.head.generation, *version};
    std::vector<std::string> chunks;
    for (const Assembly::NewChunk& chunk : assembly.chunks) {
      chunks.push_back(chunk.bytes);
    }
    auto offering = [this, &bytes, &chunks] {
      return this->releases.offer(bytes, chunks);
    };
    const Result<bool> taken = co_await run_on(this->work, offering);
    co_return taken ? Result<void>() : tl::unexpected<Error>(taken.error());
  }
  this->head.known = false;
  const Error& error = version.error();
  if (error.kind == ErrorKind::kConflict) {
    this->metrics.attempted(PublishOutcome::kConflict);
    co_return tl::unexpected<Error>(error);
  }
  if (error.execution == Execution::kNotRun) {
    this->metrics.attempted(PublishOutcome::kNotWritten);
    co_return tl::unexpected<Error>(error);
  }
  // The update may have taken effect. The head read back tells: if it is this
  // publication's, or another's that built on it, the next decision finds
  // nothing left to accept.
  this->metrics.attempted(PublishOutcome::kAnswerLost);
  const std::string publication = assembly.head.publication;
  const Result<void> read = co_await this->refresh();
  if (!read) {
    co_return read;
  }
  if (this->releases.contents()->head.publication == publication) {
    co_return Result<void>();
  }
  co_return fail(ErrorKind::kConflict, "the head is not this publication's");
}

Task<Result<std::string>> ReleaseWriter::get_chunk(std::string name) {
  std::string collection = store::kReleases;
  Result<store::StoredObject> object = co_await this->store.get(
      std::move(collection), std::move(name), this->deadline());
  if (!object) {
    co_return tl::unexpected<Error>(object.error());
  }
  co_return std::move(object->value);
}

Task<Result<void>> ReleaseWriter::take(store::StoredObject object) {
  std::vector<std::string> chunks;
  for (int level = 0; level < kPartLevels; ++level) {
    const Result<std::vector<std::string>> missing =
        this->releases.missing(object.value, chunks);
    if (!missing) {
      co_return tl::unexpected<Error>(missing.error());
    }
    for (const std::string& name : *missing) {
      std::string wanted = name;
      Result<std::string> chunk = co_await this->get_chunk(std::move(wanted));
      if (!chunk) {
        co_return tl::unexpected<Error>(chunk.error());
      }
      chunks.push_back(std::move(*chunk));
    }
  }
  auto offering = [this, &object, &chunks] {
    return this->releases.offer(object.value, chunks);
  };
  const Result<bool> taken = co_await run_on(this->work, offering);
  if (!taken) {
    co_return tl::unexpected<Error>(taken.error());
  }
  co_return Result<void>();
}

Task<Result<void>> ReleaseWriter::refresh() {
  std::string collection = store::kReleases;
  std::string name = kHeadName;
  Result<store::StoredObject> object = co_await this->store.get(
      std::move(collection), std::move(name), this->deadline());
  if (!object && object.error().kind == ErrorKind::kNotFound) {
    this->head = {true, 0, 0};
    co_return Result<void>();
  }
  if (!object) {
    co_return tl::unexpected<Error>(object.error());
  }
  const Result<Head> decoded = decode_head(object->value);
  if (!decoded) {
    co_return tl::unexpected<Error>(decoded.error());
  }
  const store::Version version = object->version;
  const Result<void> taken = co_await this->take(std::move(*object));
  if (!taken) {
    co_return taken;
  }
  this->head = {true, decoded->generation, version};
  co_return Result<void>();
}

}  // namespace ibismux::release
