#include "ibismux/caller/request_parser.h"

#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "ibismux/http/message.h"

#include <criterion/criterion.h>

using namespace ibismux;
using namespace ibismux::caller;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

IncomingRequest incoming(Fields fields) {
  auto request = std::make_shared<http::Request>();
  request->fields = std::move(fields);
  request->body = "torque of bolt 7";
  return {request, "id-1", "bays", "", TimePoint(std::chrono::seconds(9))};
}

/// Whether a reservation with `value` in field `name` is refused by that name.
bool refused(const std::string& name, const std::string& value) {
  const bool item = name == "X-Item";
  Fields fields = {{name, value}};
  if (!item) {
    fields.emplace_back("X-Item", "kettle element");
  }
  const auto parsed =
      name == "X-Min-Coverage" || name == "X-Most-Hits"
          ? parse_query(incoming(fields)).map([](auto&&) {})
          : parse_reservation(incoming(fields)).map([](auto&&) {});
  return !parsed && parsed.error().kind == ErrorKind::kInvalidRequest &&
         parsed.error().execution == Execution::kNotRun &&
         parsed.error().message.starts_with(name + ": ");
}

std::string random_value(pcg32& random) {
  static const std::string kAlphabet = "0019.-+eEnaif x\t\x7f\xc3\n";
  std::string value;
  for (std::uint32_t i = random(8); i > 0; --i) {
    value += kAlphabet[random(static_cast<std::uint32_t>(kAlphabet.size()))];
  }
  return value;
}

bool in_limits(const query::QueryRequest& request) {
  using std::chrono::milliseconds;
  const auto deadline = request.deadline.value_or(milliseconds(1));
  const double coverage = request.min_coverage.value_or(0);
  return deadline >= milliseconds(1) && deadline <= milliseconds(600'000) &&
         coverage >= 0 && coverage <= 1 && request.most_hits >= 1 &&
         request.most_hits <= 1000;
}

}  // namespace

Test(caller_request_parser, query_without_fields_takes_defaults) {
  const auto request = parse_query(incoming({}));
  cr_assert(request.has_value());
  cr_assert(request->caller == "anonymous");
  cr_assert(request->request_id == "id-1");
  cr_assert(request->service == "bays");
  cr_assert(!request->deadline && !request->min_coverage);
  cr_assert(request->most_hits == 10);
  cr_assert(*request->body == "torque of bolt 7");
  cr_assert(request->received == TimePoint(std::chrono::seconds(9)));
}

Test(caller_request_parser, query_takes_its_fields) {
  const auto request = parse_query(incoming({{"x-caller", "tablet 4"},
                                             {"X-DEADLINE-MS", "600000"},
                                             {"X-Min-Coverage", "0.25"},
                                             {"X-Most-Hits", "1000"}}));
  cr_assert(request.has_value());
  cr_assert(request->caller == "tablet 4");
  cr_assert(request->deadline == std::chrono::milliseconds(600'000));
  cr_assert(request->min_coverage == 0.25);
  cr_assert(request->most_hits == 1000);
}

Test(caller_request_parser, wrong_values_are_refused_by_name) {
  for (const char* value : {"0", "600001", "-1", "1.5", "1e3", " 7", "7 ",
                            "4294967297", "ten", "0x10"}) {
    cr_assert(refused("X-Deadline-Ms", value), "%s", value);
  }
  for (const char* value : {"0", "1001", "all"}) {
    cr_assert(refused("X-Most-Hits", value), "%s", value);
  }
  for (const char* value : {"-0.1", "1.01", "nan", "inf", "half", "50%"}) {
    cr_assert(refused("X-Min-Coverage", value), "%s", value);
  }
  for (const char* name : {"X-Caller", "Idempotency-Key"}) {
    cr_assert(refused(name, std::string(129, 'k')), "%s", name);
    cr_assert(refused(name, "caf\xc3\xa9"), "%s", name);
  }
  cr_assert(refused("X-Item", std::string(513, 'i')));
  const auto no_item = parse_reservation(incoming({}));
  cr_assert(!no_item && no_item.error().message.starts_with("X-Item: "));
}

// Failure: a reservation runs twice although its caller sent a key each time.
Test(caller_request_parser, empty_and_repeated_fields_are_refused) {
  cr_assert(refused("Idempotency-Key", ""));
  cr_assert(refused("X-Deadline-Ms", ""));
  const auto twice = parse_reservation(incoming({{"X-Item", "kettle"},
                                                 {"Idempotency-Key", "a"},
                                                 {"idempotency-key", "a"}}));
  cr_assert(!twice.has_value());
  cr_assert(twice.error().message.starts_with("Idempotency-Key: "));
}

Test(caller_request_parser, random_values_pass_only_inside_the_limits) {
  pcg32 random(20261202);
  for (int i = 0; i < 20'000; ++i) {
    const Fields fields = {{"X-Deadline-Ms", random_value(random)},
                           {"X-Min-Coverage", random_value(random)},
                           {"X-Most-Hits", random_value(random)}};
    for (const auto& field : fields) {
      const auto request = parse_query(incoming({field}));
      cr_assert(request ? in_limits(*request)
                        : request.error().message.starts_with(field.first),
                "%s: %s", field.first.c_str(), field.second.c_str());
    }
  }
}
