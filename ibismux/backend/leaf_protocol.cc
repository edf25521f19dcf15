#include "ibismux/backend/leaf_protocol.h"

#include <charconv>
#include <chrono>
#include <optional>

namespace ibismux::backend {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooManyRequests = 429;
constexpr int kClientClosedRequest = 499;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/// Meaning of an HTTP status, regardless of whether the call may have run.
struct StatusMeaning {
  LeafSignal signal;
  ErrorKind kind;
};

StatusMeaning meaning_of(const http::Response& response) {
  switch (response.status) {
    case kGone:
      return {LeafSignal::kSnapshotGone, ErrorKind::kSnapshotGone};
    case kTooManyRequests:
      return {LeafSignal::kOverloaded, ErrorKind::kOverloaded};
    case kClientClosedRequest:
      return {LeafSignal::kCancelled, ErrorKind::kCancelled};
    case kGatewayTimeout:
      return {LeafSignal::kLeafTimeout, ErrorKind::kDeadlineExceeded};
    case kServiceUnavailable:
      if (response.field("X-Reason") == "warming") {
        return {LeafSignal::kWarming, ErrorKind::kOverloaded};
      }
      if (response.field("X-Reason") == "draining") {
        return {LeafSignal::kDraining, ErrorKind::kLeafUnavailable};
      }
      return {LeafSignal::kFailed, ErrorKind::kLeafUnavailable};
    default:
      return {LeafSignal::kFailed, ErrorKind::kLeafUnavailable};
  }
}

std::optional<std::chrono::milliseconds> retry_after_of(
    const http::Response& response) {
  const std::string_view text = response.field("Retry-After");
  long seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/// Replaces the error kind of a non-idempotent call that may have run by
/// kOutcomeUnknown, whatever the failure, so that the call is not retried.
Error apply_outcome_unknown(const LeafRequest& request, Error error) {
  if (!request.idempotent && error.execution == Execution::kUnknown) {
    error.kind = ErrorKind::kOutcomeUnknown;
  }
  return error;
}

LeafReply reply_of_failed_exchange(const LeafRequest& request, Error error) {
  const LeafSignal signal = error.kind == ErrorKind::kDeadlineExceeded
                                ? LeafSignal::kSilent
                                : LeafSignal::kLost;
  return {tl::unexpected(apply_outcome_unknown(request, std::move(error))),
          signal, false};
}

bool echoes_call(const LeafRequest& request, const http::Response& response) {
  return response.field("X-Call-Id") == to_string(request.id) &&
         response.field("X-Snapshot") == request.snapshot &&
         response.field("X-Shard") == request.shard;
}

LeafReply foreign_reply(const LeafRequest& request) {
  Error error = make_error(ErrorKind::kProtocolError,
                           "the leaf's answer belongs to another call");
  return {tl::unexpected(apply_outcome_unknown(request, std::move(error))),
          LeafSignal::kForeign, false};
}

}  // namespace

std::string_view to_string(LeafSignal signal) noexcept {
  constexpr std::string_view kNames[kLeafSignals] = {
      "answered",      "overloaded", "warming",      "draining",
      "snapshot_gone", "cancelled",  "leaf_timeout", "failed",
      "lost",          "silent",     "foreign"};
  return kNames[static_cast<std::size_t>(signal)];
}

std::shared_ptr<const http::Request> encode_call(const LeafRequest& request,
                                                 TimePoint now) {
  auto message = std::make_shared<http::Request>();
  message->method = "POST";
  message->target = request.idempotent ? "/v1/query" : "/v1/reserve";
  message->add("X-Call-Id", to_string(request.id));
  message->add("X-Snapshot", request.snapshot);
  message->add("X-Shard", request.shard);
  message->add("X-Deadline-Ms",
               std::to_string(to_millis(remaining(request.deadline, now))));
  message->add("X-Priority", to_string(request.priority));
  if (!request.key.empty()) {
    message->add("X-Reservation-Key", request.key);
  }
  if (request.body) {
    message->body = *request.body;
  }
  return message;
}

std::shared_ptr<const http::Request> encode_cancel(const CallId& id) {
  auto message = std::make_shared<http::Request>();
  message->method = "POST";
  message->target = "/v1/cancel";
  message->add("X-Call-Id", to_string(id));
  return message;
}

LeafReply interpret(const LeafRequest& request,
                    const Result<http::Response>& response) {
  if (!response) {
    return reply_of_failed_exchange(request, response.error());
  }
  // A refusal need not echo the call id. If it names another call, it is late
  // or misdirected, and its "not-run" doesn't apply to this call.
  const std::string_view echoed_id = response->field("X-Call-Id");
  if (!echoed_id.empty() && echoed_id != to_string(request.id)) {
    return foreign_reply(request);
  }
  const bool leaving = response->field("X-Leaving") == "1";
  if (response->status == kOk) {
    if (!echoes_call(request, *response)) {
      return foreign_reply(request);
    }
    return {response->body, LeafSignal::kAnswered, leaving};
  }
  const StatusMeaning meaning = meaning_of(*response);
  Error error = make_error(meaning.kind,
                           "leaf: status " + std::to_string(response->status));
  error.execution = response->field("X-Execution") == "not-run"
                        ? Execution::kNotRun
                        : Execution::kUnknown;
  error.retry_after = retry_after_of(*response);
  return {tl::unexpected(apply_outcome_unknown(request, std::move(error))),
          meaning.signal, leaving || meaning.signal == LeafSignal::kDraining};
}

}  // namespace ibismux::backend
