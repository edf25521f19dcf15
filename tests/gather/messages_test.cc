#include "ibismux/gather/messages.h"

#include <criterion/criterion.h>

namespace ibismux::gather::testing {
namespace {

using std::chrono::milliseconds;

GatherQuery query(TimePoint now) {
  GatherQuery query;
  query.number = 7;
  query.offer = 8;
  query.configuration = 9;
  query.request.id = "r1";
  query.request.host = "a";
  query.request.path = "/query/";
  query.request.opens_connection = true;
  query.request.customer = "c1";
  query.request.authorization = {"Bearer secret"};
  query.request.received = now - milliseconds(5);
  query.request.deadline = now + milliseconds(100);
  auto message = std::make_shared<http::Request>();
  message->method = "POST";
  message->target = "/query/?a=b";
  message->add("X-Odd", "1");
  message->body = std::string("\0\xff", 2);
  query.request.message = std::move(message);
  return query;
}

Test(gather_messages, a_query_round_trips_except_for_transit_time) {
  const TimePoint sent = Clock::now();
  const TimePoint read = sent + std::chrono::hours(1);
  const auto got = decode_query(encode(query(sent), sent), read).value();
  cr_assert(got.number == 7 && got.offer == 8 && got.configuration == 9);
  cr_assert(got.request.id == "r1" && got.request.host == "a");
  cr_assert(got.request.path == "/query/" && got.request.opens_connection);
  cr_assert(got.request.customer == "c1");
  cr_assert(got.request.received == read - milliseconds(5));
  cr_assert(got.request.deadline == read + milliseconds(100));
  cr_assert(got.request.message->method == "POST");
  cr_assert(got.request.message->target == "/query/?a=b");
  cr_assert(got.request.message->field("X-Odd") == "1");
  cr_assert(got.request.message->body == std::string("\0\xff", 2));
}

// Guards against keys of customers on the network between daemons.
Test(gather_messages, a_query_is_sent_without_the_callers_key) {
  const TimePoint now = Clock::now();
  const std::string sent = encode(query(now), now);
  cr_assert(sent.find("secret") == std::string::npos);
  cr_assert(decode_query(sent, now)->request.authorization.empty());
}

Test(gather_messages, an_answer_round_trips) {
  dispatch::MergedAnswer merged{{"r1", "r2"}, 3, std::string(32, '\xfe')};
  const GatherAnswer answer{dispatch::Outcome(dispatch::Answer(merged)), {}};
  const auto got = decode_answer(encode(answer)).value();
  const auto& read = std::get<dispatch::MergedAnswer>(**got.outcome);
  cr_assert(read.receipts == merged.receipts);
  cr_assert(read.missing_shards == 3);
  cr_assert(read.records == merged.records);
}

Test(gather_messages, an_error_keeps_its_execution_and_retry_time) {
  Error error = make_error(ErrorKind::kOverloaded, "queues");
  error.execution = Execution::kNotRun;
  error.retry_after = milliseconds(120);
  const GatherAnswer answer{dispatch::Outcome(tl::unexpected(error)), {}};
  const auto got = decode_answer(encode(answer)).value();
  cr_assert(got.outcome.has_value() && !got.outcome->has_value());
  const Error& read = got.outcome->error();
  cr_assert(read.kind == ErrorKind::kOverloaded);
  cr_assert(read.execution == Execution::kNotRun);
  cr_assert(read.retry_after == milliseconds(120));
  Error unknown = make_error(ErrorKind::kOutcomeUnknown, "lost");
  const GatherAnswer lost{dispatch::Outcome(tl::unexpected(unknown)), {}};
  const auto second = decode_answer(encode(lost)).value();
  cr_assert(second.outcome->error().execution == Execution::kUnknown);
  cr_assert(!second.outcome->error().retry_after);
}

Test(gather_messages, a_query_that_was_not_taken_has_no_outcome) {
  const auto got = decode_answer(encode(GatherAnswer{{}, "no room"})).value();
  cr_assert(!got.outcome.has_value());
  cr_assert(got.reason == "no room");
}

Test(gather_messages, corrupt_frames_are_refused) {
  const TimePoint now = Clock::now();
  cr_assert(!decode_offer("\xff\xff").has_value());
  cr_assert(!decode_query("x", now).has_value());
  cr_assert(!decode_answer("\x01\x02").has_value());
  cr_assert(!decode_query_number("\xff").has_value());
  // An answer without receipts must not be forwarded as a success.
  const GatherAnswer empty{
      dispatch::Outcome(dispatch::Answer(dispatch::MergedAnswer{})), {}};
  cr_assert(!decode_answer(encode(empty)).has_value());
}

}  // namespace
}  // namespace ibismux::gather::testing
