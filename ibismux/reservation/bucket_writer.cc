#include "ibismux/reservation/bucket_writer.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "ibismux/reservation/record_codec.h"

namespace ibismux::reservation {

namespace {

/// So many bytes of outcomes go into one commit, whatever their number.
constexpr std::size_t kMostBatchBytes = 128 * 1024;

std::string head_object(std::uint32_t bucket) {
  return "bucket-" + std::to_string(bucket);
}

std::string hex(std::uint64_t value) {
  std::array<char, 17> digits{};
  std::snprintf(digits.data(), digits.size(), "%016lx",
                static_cast<unsigned long>(value));
  return std::string(digits.data(), 16);
}

/// `time + span` that doesn't overflow where `time` means "never yet".
TimePoint after(TimePoint time, Duration span) {
  return time == TimePoint::min() ? time : time + span;
}

}  // namespace

BucketWriter::BucketWriter(std::uint32_t bucket, ReservationSettings settings)
    : head_name(head_object(bucket)), settings(settings) {}

std::uint64_t BucketWriter::submit(BucketOperation operation,
                                   TimePoint now,
                                   TimePoint deadline) {
  const std::uint64_t ticket = this->next_ticket++;
  const KeyRecord* known =
      this->bucket.find(operation.record.key, this->archive);
  // A final state never changes: memory answers, however old it is.
  if (operation.kind != OperationKind::kRecord && known != nullptr &&
      is_final(known->state)) {
    this->completions.push_back(
        {ticket, Verdict{VerdictKind::kExists, *known}});
    return ticket;
  }
  if (operation.record.result.size() > this->settings.most_result_bytes) {
    operation.record.result.clear();
  }
  this->queue.push_back({ticket, std::move(operation), now, deadline});
  return ticket;
}

TimePoint BucketWriter::due_at() const {
  TimePoint due = TimePoint::max();
  std::size_t urgent = 0;
  for (const Queued& queued : this->queue) {
    const bool outcome = queued.operation.kind == OperationKind::kRecord;
    urgent += outcome ? 0 : 1;
    due = std::min(
        due, outcome ? queued.since + this->settings.outcome_linger
                     : this->paid_until -
                           this->settings.linger * (this->settings.burst - 1));
    due = std::min(due, queued.deadline);
  }
  if (urgent >= this->settings.full_batch || this->write_again) {
    due = TimePoint::min();
  }
  return std::max(due, after(this->last_commit, this->settings.least_interval));
}

TimePoint BucketWriter::wake_at() const {
  if (!this->queue.empty()) {
    return this->due_at();
  }
  return this->garbage.empty() ? TimePoint::max() : TimePoint::min();
}

std::optional<BucketWriter::Step> BucketWriter::next(TimePoint now,
                                                     std::chrono::seconds wall,
                                                     std::uint64_t salt) {
  this->expire(now);
  if (this->queue.empty()) {
    return this->remove_garbage();
  }
  if (this->due_at() > now) {
    return std::nullopt;
  }
  if (this->must_load) {
    return this->load_head(now);
  }
  if (!this->to_load.empty()) {
    return Step{Step::Kind::kLoadSegment, this->to_load.back().name, {}, 0};
  }
  if (this->candidate) {  // Its segment has just been written.
    return this->put_head(now);
  }
  this->candidate = this->decide(wall);
  if (!this->candidate->bucket.changed()) {
    auto verdicts = std::move(this->candidate->verdicts);
    this->candidate.reset();
    if (now > after(this->loaded_at, this->settings.fresh) ||
        this->misses_outcome(verdicts)) {
      this->must_load = true;
      return this->load_head(now);
    }
    this->complete_first(std::move(verdicts));
    return std::nullopt;
  }
  if (this->candidate->bucket.bytes() > this->settings.most_head_bytes) {
    return this->put_segment(salt);
  }
  return this->put_head(now);
}

/// Whether memory is older than an outcome whose claim it lacks. The claim was
/// committed before: the head has it.
bool BucketWriter::misses_outcome(const std::vector<Verdict>& verdicts) const {
  for (std::size_t i = 0; i < verdicts.size(); ++i) {
    const Queued& queued = this->queue[i];
    if (queued.operation.kind == OperationKind::kRecord &&
        verdicts[i].kind != VerdictKind::kApplied &&
        this->known_as_of < queued.since) {
      return true;
    }
  }
  return false;
}

BucketWriter::Step BucketWriter::load_head(TimePoint now) {
  this->step_began = now;
  return Step{Step::Kind::kLoadHead, this->head_name, {}, 0};
}

BucketWriter::Candidate BucketWriter::decide(std::chrono::seconds wall) const {
  Candidate made{this->bucket, {}};
  made.bucket.forget(wall - this->settings.retention -
                     this->settings.clock_slack);
  std::size_t bytes = 0;
  for (const Queued& queued : this->queue) {
    bytes += queued.operation.record.result.size();
    if (made.verdicts.size() >= this->settings.most_batch ||
        bytes > kMostBatchBytes) {
      break;
    }
    made.verdicts.push_back(
        made.bucket.apply(queued.operation, this->archive, wall));
  }
  return made;
}

BucketWriter::Step BucketWriter::put_segment(std::uint64_t salt) {
  NewSegment made;
  made.records = this->candidate->bucket.take_for_segment(
      this->settings.most_head_bytes / 2);
  made.ref = this->candidate->bucket.add_segment(
      this->head_name + "-" + hex(salt), made.records);
  made.head_version = this->version;
  this->segment = std::move(made);
  return Step{Step::Kind::kPutSegment, this->segment->ref.name,
              encode_segment(this->segment->records), 0};
}

BucketWriter::Step BucketWriter::put_head(TimePoint now) {
  this->step_began = now;
  return Step{Step::Kind::kPutHead, this->head_name,
              this->candidate->bucket.encode(), this->version};
}

std::optional<BucketWriter::Step> BucketWriter::remove_garbage() {
  if (this->garbage.empty()) {
    return std::nullopt;
  }
  auto [name, version] = std::move(this->garbage.back());
  this->garbage.pop_back();
  return Step{Step::Kind::kRemove, std::move(name), {}, version};
}

void BucketWriter::on_head(Result<store::StoredObject> head, TimePoint now) {
  if (!head && head.error().kind != ErrorKind::kNotFound) {
    this->fail_all(head.error());
    return;
  }
  Result<Bucket> read = head ? Bucket::decode(head->value) : Bucket();
  if (!read) {
    this->fail_all(read.error());
    return;
  }
  this->bucket = std::move(*read);
  this->version = head ? head->version : 0;
  this->loaded_at = now;
  this->known_as_of = this->step_began;
  this->must_load = false;
  this->settle_segment();
  this->archive.keep_only(this->bucket.segments());
  this->to_load = this->archive.missing(this->bucket.segments());
}

/// A head write that named a new segment failed or lost its answer. Where the
/// head has moved on without the segment, no head will ever name it. Where the
/// head has not moved, that write may still be under way and land later; then
/// the segment must be there, so it is left alone: at worst it is never read.
void BucketWriter::settle_segment() {
  if (!this->segment) {
    return;
  }
  const NewSegment made = std::move(*this->segment);
  this->segment.reset();
  const bool named = std::ranges::any_of(
      this->bucket.segments(),
      [&made](const SegmentRef& ref) { return ref.name == made.ref.name; });
  if (!named && made.version != 0 && this->version != made.head_version) {
    this->garbage.emplace_back(made.ref.name, made.version);
  }
}

void BucketWriter::on_segment(Result<store::StoredObject> segment) {
  const SegmentRef ref = this->to_load.back();
  if (!segment) {
    // A newer head has dropped it, or the platform is down.
    this->must_load = true;
    if (segment.error().kind != ErrorKind::kNotFound) {
      this->fail_all(segment.error());
    }
    return;
  }
  auto records = decode_segment(segment->value);
  if (!records) {
    this->fail_all(records.error());
    return;
  }
  this->to_load.pop_back();
  this->archive.add(ref, segment->version, std::move(*records));
}

void BucketWriter::on_segment_put(Result<store::Version> version) {
  if (version) {
    this->segment->version = *version;
    return;
  }
  // No head names it, and none will: the name is not used again.
  this->segment.reset();
  this->candidate.reset();
  this->fail_all(version.error());
}

void BucketWriter::on_head_put(Result<store::Version> version, TimePoint now) {
  Candidate written = std::move(*this->candidate);
  this->candidate.reset();
  this->last_commit = now;
  this->paid_until = std::max(this->paid_until, now) + this->settings.linger;
  this->write_again = !version;
  if (!version) {
    this->must_load = true;
    const bool refused = version.error().kind != ErrorKind::kConflict &&
                         version.error().execution == Execution::kNotRun;
    if (refused) {
      this->fail_all(version.error());
    }
    // Otherwise a rival wrote first, or the answer is lost. Reading back tells:
    // applied again, an operation that did take effect finds its own claim id
    // and is granted without another write.
    return;
  }
  for (const SegmentRef& ref : this->bucket.segments()) {
    const auto& kept = written.bucket.segments();
    if (std::ranges::find(kept, ref) == kept.end()) {
      this->garbage.emplace_back(ref.name, this->archive.version_of(ref.name));
    }
  }
  this->bucket = std::move(written.bucket);
  this->bucket.mark_written();
  this->version = *version;
  this->loaded_at = now;
  this->known_as_of = this->step_began;
  if (this->segment) {
    this->archive.add(this->segment->ref, this->segment->version,
                      std::move(this->segment->records));
    this->segment.reset();
  }
  this->archive.keep_only(this->bucket.segments());
  this->complete_first(std::move(written.verdicts));
}

void BucketWriter::expire(TimePoint now) {
  // While a candidate waits for its segment, its verdicts belong to the first
  // operations of the queue.
  if (this->candidate) {
    return;
  }
  std::erase_if(this->queue, [this, now](const Queued& queued) {
    const bool late = queued.deadline <= now;
    if (late) {
      this->completions.push_back(
          {queued.ticket, fail(ErrorKind::kDeadlineExceeded,
                               "the bucket was not written in time")});
    }
    return late;
  });
}

void BucketWriter::fail_all(const Error& error) {
  this->must_load = true;
  for (Queued& queued : this->queue) {
    // An earlier write of the same operation may have taken effect.
    Error told = error;
    told.execution = Execution::kUnknown;
    this->completions.push_back(
        {queued.ticket, tl::unexpected<Error>(std::move(told))});
  }
  this->queue.clear();
}

void BucketWriter::complete_first(std::vector<Verdict> verdicts) {
  for (Verdict& verdict : verdicts) {
    this->completions.push_back(
        {this->queue.front().ticket, std::move(verdict)});
    this->queue.pop_front();
  }
}

std::vector<BucketWriter::Completion> BucketWriter::take_completions() {
  return std::exchange(this->completions, {});
}

}  // namespace ibismux::reservation
