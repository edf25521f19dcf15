#include "ibismux/caller/request_parser.h"

#include "ibismux/caller/field_reader.h"
#include "ibismux/http/message.h"

namespace ibismux::caller {

namespace {

constexpr std::size_t kMostTextBytes = 128;
constexpr std::size_t kMostItemBytes = 512;
constexpr std::uint32_t kMostDeadlineMs = 600'000;
constexpr std::uint32_t kMostHits = 1000;
constexpr std::uint32_t kUsualHits = 10;
constexpr std::chrono::milliseconds kQuestionDeadline{5000};
constexpr std::string_view kAnonymous = "anonymous";

/// The fields that every route reads.
struct CommonFields {
  std::string caller;
  std::optional<std::chrono::milliseconds> deadline;
};

Result<CommonFields> parse_common(const IncomingRequest& incoming) {
  const FieldReader fields(*incoming.http);
  const auto caller = fields.text("X-Caller", kMostTextBytes);
  if (!caller) {
    return tl::unexpected(caller.error());
  }
  const auto deadline = fields.number("X-Deadline-Ms", 1, kMostDeadlineMs);
  if (!deadline) {
    return tl::unexpected(deadline.error());
  }
  CommonFields common;
  common.caller = caller->value_or(kAnonymous);
  if (*deadline) {
    common.deadline = std::chrono::milliseconds(**deadline);
  }
  return common;
}

/// The body as a pointer of its own that keeps the whole request alive.
std::shared_ptr<const std::string> body_of(const IncomingRequest& incoming) {
  return {incoming.http, &incoming.http->body};
}

}  // namespace

Result<std::optional<std::string>> parse_request_id(
    const http::Request& request) {
  const auto id = FieldReader(request).text("X-Request-Id", kMostTextBytes);
  if (!id) {
    return tl::unexpected(id.error());
  }
  return *id ? std::optional<std::string>(**id) : std::nullopt;
}

Result<query::QueryRequest> parse_query(const IncomingRequest& incoming) {
  const auto common = parse_common(incoming);
  if (!common) {
    return tl::unexpected(common.error());
  }
  const FieldReader fields(*incoming.http);
  const auto coverage = fields.share("X-Min-Coverage");
  if (!coverage) {
    return tl::unexpected(coverage.error());
  }
  const auto hits = fields.number("X-Most-Hits", 1, kMostHits);
  if (!hits) {
    return tl::unexpected(hits.error());
  }
  query::QueryRequest request;
  request.request_id = incoming.request_id;
  request.service = incoming.service;
  request.caller = common->caller;
  request.received = incoming.received;
  request.deadline = common->deadline;
  request.min_coverage = *coverage;
  request.most_hits = hits->value_or(kUsualHits);
  request.body = body_of(incoming);
  return request;
}

Result<reservation::ReservationRequest> parse_reservation(
    const IncomingRequest& incoming) {
  const auto common = parse_common(incoming);
  if (!common) {
    return tl::unexpected(common.error());
  }
  const FieldReader fields(*incoming.http);
  const auto item = fields.text("X-Item", kMostItemBytes);
  if (!item) {
    return tl::unexpected(item.error());
  }
  if (!*item) {
    return fail(ErrorKind::kInvalidRequest,
                "X-Item: required, it says what is reserved");
  }
  const auto key = fields.text("Idempotency-Key", kMostTextBytes);
  if (!key) {
    return tl::unexpected(key.error());
  }
  reservation::ReservationRequest request;
  request.request_id = incoming.request_id;
  request.service = incoming.service;
  request.caller = common->caller;
  request.received = incoming.received;
  request.deadline = common->deadline;
  request.item = **item;
  request.key = key->value_or("");
  request.body = body_of(incoming);
  return request;
}

Result<KeyQuestion> parse_key_question(const IncomingRequest& incoming) {
  const auto common = parse_common(incoming);
  if (!common) {
    return tl::unexpected(common.error());
  }
  const auto wait = common->deadline.value_or(kQuestionDeadline);
  return KeyQuestion{common->caller, incoming.key, incoming.received + wait};
}

}  // namespace ibismux::caller
