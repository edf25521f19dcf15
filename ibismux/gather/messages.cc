#include "ibismux/gather/messages.h"

#include <algorithm>
#include <utility>

#include "ibismux/gather/gen/gather_types.h"
#include "ibismux/peer/thrift_codec.h"

namespace ibismux::gather {

namespace {

using std::chrono::microseconds;

// Longer than any caller waits; a frame with a longer time is corrupt.
constexpr std::int64_t kMaxTimeUs = 3'600'000'000;

std::int64_t to_micros(Duration time) {
  return std::chrono::duration_cast<microseconds>(time).count();
}

void set_error(const Error& error, wire::Answer& out) {
  out.__set_error_kind(std::string(error_entry(error.kind).name));
  out.__set_error_message(error.message);
  out.__set_not_run(error.execution == Execution::kNotRun);
  out.__set_retry_after_ms(error.retry_after ? error.retry_after->count() : -1);
}

Result<Error> read_error(wire::Answer& in) {
  const auto kind = error_kind_of(in.error_kind);
  if (!kind) {
    return fail(ErrorKind::kProtocolError, "unknown kind of error");
  }
  Error error = make_error(*kind, std::move(in.error_message));
  error.execution = in.not_run ? Execution::kNotRun : Execution::kUnknown;
  if (in.retry_after_ms >= 0) {
    error.retry_after = std::chrono::milliseconds(in.retry_after_ms);
  }
  return error;
}

}  // namespace

std::string encode(const GatherOffer& offer) {
  wire::Offer out;
  out.__set_sequence(static_cast<std::int64_t>(offer.sequence));
  out.__set_room(static_cast<std::int32_t>(offer.room));
  out.__set_reads_customer(offer.reads_customer);
  return peer::encode(out);
}

std::string encode(const GatherQuery& query, TimePoint now) {
  const dispatch::CallerRequest& request = query.request;
  wire::Query out;
  out.__set_number(static_cast<std::int64_t>(query.number));
  out.__set_offer(static_cast<std::int64_t>(query.offer));
  out.__set_configuration(static_cast<std::int64_t>(query.configuration));
  out.__set_request_id(request.id);
  out.__set_host(request.host);
  out.__set_path(request.path);
  out.__set_method(request.message->method);
  out.__set_target(request.message->target);
  for (const auto& [name, value] : request.message->fields) {
    wire::Field field;
    field.__set_name(name);
    field.__set_value(value);
    out.fields.push_back(std::move(field));
  }
  out.__set_body(request.message->body);
  out.__set_elapsed_us(to_micros(now - request.received));
  out.__set_left_us(to_micros(remaining(request.deadline, now)));
  out.__set_opens_connection(request.opens_connection);
  out.__set_customer(request.customer);
  out.__set_customer_usage(request.customer_usage);
  return peer::encode(out);
}

std::string encode(const GatherAnswer& answer) {
  wire::Answer out;
  out.__set_taken(answer.outcome.has_value());
  out.__set_reason(answer.reason);
  if (answer.outcome && !*answer.outcome) {
    set_error(answer.outcome->error(), out);
  } else if (answer.outcome) {
    const auto& merged = std::get<dispatch::MergedAnswer>(**answer.outcome);
    out.__set_receipts(merged.receipts);
    out.__set_missing_shards(static_cast<std::int32_t>(merged.missing_shards));
    out.__set_records(merged.records);
  }
  return peer::encode(out);
}

std::string encode_query_number(std::uint64_t number) {
  wire::About out;
  out.__set_number(static_cast<std::int64_t>(number));
  return peer::encode(out);
}

Result<GatherOffer> decode_offer(const std::string& payload) {
  const auto in = peer::decode<wire::Offer>(payload);
  if (!in) {
    return tl::unexpected(in.error());
  }
  if (in->room < 0) {
    return fail(ErrorKind::kProtocolError, "room is negative");
  }
  return GatherOffer{static_cast<std::uint64_t>(in->sequence),
                     static_cast<std::size_t>(in->room), in->reads_customer};
}

Result<GatherQuery> decode_query(const std::string& payload, TimePoint now) {
  auto in = peer::decode<wire::Query>(payload);
  if (!in) {
    return tl::unexpected(std::move(in.error()));
  }
  if (in->elapsed_us < 0 || in->elapsed_us > kMaxTimeUs || in->left_us < 0 ||
      in->left_us > kMaxTimeUs) {
    return fail(ErrorKind::kProtocolError, "a time is out of range");
  }
  GatherQuery query;
  query.number = static_cast<std::uint64_t>(in->number);
  query.offer = static_cast<std::uint64_t>(in->offer);
  query.configuration = static_cast<std::uint64_t>(in->configuration);
  query.request.id = std::move(in->request_id);
  query.request.host = std::move(in->host);
  query.request.path = std::move(in->path);
  query.request.opens_connection = in->opens_connection;
  query.request.customer = std::move(in->customer);
  query.request.customer_usage = std::max(0.0, in->customer_usage);
  query.request.received = now - microseconds(in->elapsed_us);
  query.request.deadline = now + microseconds(in->left_us);
  auto message = std::make_shared<http::Request>();
  message->method = std::move(in->method);
  message->target = std::move(in->target);
  message->body = std::move(in->body);
  for (wire::Field& field : in->fields) {
    message->fields.emplace_back(std::move(field.name), std::move(field.value));
  }
  query.request.message = std::move(message);
  return query;
}

Result<GatherAnswer> decode_answer(const std::string& payload) {
  auto in = peer::decode<wire::Answer>(payload);
  if (!in) {
    return tl::unexpected(std::move(in.error()));
  }
  GatherAnswer answer;
  answer.reason = std::move(in->reason);
  if (!in->taken) {
    return answer;
  }
  if (!in->error_kind.empty()) {
    auto error = read_error(*in);
    if (!error) {
      return tl::unexpected(std::move(error.error()));
    }
    answer.outcome = tl::unexpected(*std::move(error));
    return answer;
  }
  if (in->missing_shards < 0 || in->receipts.empty()) {
    return fail(ErrorKind::kProtocolError, "an answer without shards");
  }
  dispatch::MergedAnswer merged;
  merged.receipts = std::move(in->receipts);
  merged.missing_shards = static_cast<std::size_t>(in->missing_shards);
  merged.records = std::move(in->records);
  answer.outcome = dispatch::Answer(std::move(merged));
  return answer;
}

Result<std::uint64_t> decode_query_number(const std::string& payload) {
  const auto in = peer::decode<wire::About>(payload);
  if (!in) {
    return tl::unexpected(in.error());
  }
  return static_cast<std::uint64_t>(in->number);
}

}  // namespace ibismux::gather
