#include "ibismux/gateway/leaf_calls_codec.h"

#include <chrono>
#include <utility>

#include "ibismux/gateway/gen/leaf_calls_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::gateway {

namespace {

using std::chrono::microseconds;

std::int64_t to_micros(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

/// Ids are unsigned here and signed on the wire; the bits are the same.
std::int64_t to_wire(std::uint64_t id) {
  return static_cast<std::int64_t>(id);
}

std::uint64_t from_wire(std::int64_t id) {
  return static_cast<std::uint64_t>(id);
}

wire::CallAnswer to_wire(const LeafAnswer& answer) {
  wire::CallAnswer out;
  out.origin = to_wire(answer.id.origin);
  out.sequence = to_wire(answer.id.sequence);
  out.leaf_us = to_micros(answer.leaf_time);
  out.queue_us = to_micros(answer.queue_time);
  if (answer.body) {
    out.__set_body(*answer.body);
    return out;
  }
  const Error& error = answer.body.error();
  out.__set_error(std::string(error_entry(error.kind).name));
  out.__set_message(error.message);
  out.not_run = error.execution == Execution::kNotRun;
  if (error.retry_after) {
    out.__set_retry_after_ms(error.retry_after->count());
  }
  return out;
}

LeafAnswer from_wire(wire::CallAnswer&& in) {
  LeafAnswer answer;
  answer.id = {from_wire(in.origin), from_wire(in.sequence)};
  answer.leaf_time = microseconds(in.leaf_us);
  answer.queue_time = microseconds(in.queue_us);
  if (in.__isset.body) {
    answer.body = std::move(in.body);
    return answer;
  }
  // A daemon of a later version may know more kinds than this one.
  Error error = make_error(
      error_kind_of(in.error).value_or(ErrorKind::kInternal), in.message);
  error.execution = in.not_run ? Execution::kNotRun : Execution::kUnknown;
  if (in.__isset.retry_after_ms) {
    error.retry_after = std::chrono::milliseconds(in.retry_after_ms);
  }
  answer.body = tl::unexpected(std::move(error));
  return answer;
}

bool makes_sense(const wire::LeafCalls& in) {
  return in.kind >= 0 &&
         in.kind <= static_cast<int>(LeafCallKind::kReservation) &&
         in.priority >= 0 &&
         static_cast<std::size_t>(in.priority) < kPriorities;
}

}  // namespace

std::string encode_calls(const LeafCallBatch& batch, TimePoint now) {
  wire::LeafCalls out;
  out.origin = to_wire(batch.origin);
  out.kind = static_cast<std::int8_t>(batch.kind);
  out.query_service = batch.service;
  out.snapshot = batch.snapshot;
  out.priority = static_cast<std::int8_t>(batch.priority);
  out.remaining_us = to_micros(remaining(batch.deadline, now));
  out.key = batch.key;
  if (batch.body) {
    out.body = *batch.body;
  }
  out.items.reserve(batch.items.size());
  for (const LeafCallBatch::Item& item : batch.items) {
    wire::CallItem& call = out.items.emplace_back();
    call.sequence = to_wire(item.sequence);
    call.leaf = item.leaf;
    call.shard = item.shard;
  }
  return peer::encode(out);
}

Result<LeafCallBatch> decode_calls(const std::string& frame, TimePoint now) {
  Result<wire::LeafCalls> in = peer::decode<wire::LeafCalls>(frame);
  if (!in) {
    return tl::unexpected(in.error());
  }
  if (!makes_sense(*in)) {
    return fail(ErrorKind::kProtocolError, "unknown kind or priority");
  }
  LeafCallBatch batch;
  batch.origin = from_wire(in->origin);
  batch.kind = static_cast<LeafCallKind>(in->kind);
  batch.service = std::move(in->query_service);
  batch.snapshot = std::move(in->snapshot);
  batch.priority = static_cast<Priority>(in->priority);
  batch.deadline = now + microseconds(in->remaining_us);
  batch.key = std::move(in->key);
  batch.body = std::make_shared<const std::string>(std::move(in->body));
  batch.items.reserve(in->items.size());
  for (wire::CallItem& call : in->items) {
    batch.items.push_back({from_wire(call.sequence), std::move(call.leaf),
                           std::move(call.shard)});
  }
  return batch;
}

std::string encode_answers(const std::vector<LeafAnswer>& answers) {
  wire::LeafAnswers out;
  out.answers.reserve(answers.size());
  for (const LeafAnswer& answer : answers) {
    out.answers.push_back(to_wire(answer));
  }
  return peer::encode(out);
}

Result<std::vector<LeafAnswer>> decode_answers(const std::string& frame) {
  Result<wire::LeafAnswers> in = peer::decode<wire::LeafAnswers>(frame);
  if (!in) {
    return tl::unexpected(in.error());
  }
  std::vector<LeafAnswer> answers;
  answers.reserve(in->answers.size());
  for (wire::CallAnswer& answer : in->answers) {
    answers.push_back(from_wire(std::move(answer)));
  }
  return answers;
}

std::string encode_cancels(const std::vector<CallId>& calls) {
  wire::LeafCancels out;
  for (const CallId& id : calls) {
    wire::CancelItem& item = out.calls.emplace_back();
    item.origin = to_wire(id.origin);
    item.sequence = to_wire(id.sequence);
  }
  return peer::encode(out);
}

Result<std::vector<CallId>> decode_cancels(const std::string& frame) {
  Result<wire::LeafCancels> in = peer::decode<wire::LeafCancels>(frame);
  if (!in) {
    return tl::unexpected(in.error());
  }
  std::vector<CallId> calls;
  for (const wire::CancelItem& item : in->calls) {
    calls.push_back({from_wire(item.origin), from_wire(item.sequence)});
  }
  return calls;
}

}  // namespace ibismux::gateway
