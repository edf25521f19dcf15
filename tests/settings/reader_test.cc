#include "ibismux/settings/reader.h"

#include <criterion/criterion.h>

namespace ibismux::settings {
namespace {

using Outcome = tl::expected<Settings, std::vector<std::string>>;

Outcome read_text(const std::string& text) {
  return read(jsonc::parse("s.json", text).value());
}

std::string first_error(const std::string& text) {
  const Outcome outcome = read_text(text);
  return outcome ? "" : outcome.error().front();
}

Test(reader, what_is_absent_takes_its_default) {
  const Outcome outcome = read_text("{\"member\": \"a\", \"zone\": \"z\"}");
  cr_assert(outcome.has_value());
  cr_assert(outcome->caller_port == 8080);
}

Test(reader, values_are_taken) {
  const Outcome outcome = read_text(
      "{\"member\": \"a\", \"zone\": \"z\", \"caller\": {\"port\": 0,"
      "\"idle_timeout_ms\": 500}, \"policy\": {\"ownership\": \"direct\"}}");
  cr_assert(outcome.has_value());
  cr_assert(outcome->caller_port == 0);
  cr_assert(outcome->caller_idle_timeout == std::chrono::milliseconds(500));
  cr_assert(outcome->ownership == "direct");
}

Test(reader, a_wrong_value_is_named_with_its_place_and_what_is_allowed) {
  cr_assert(first_error("{\"member\": \"a\", \"zone\": \"z\",\n"
                        "\"threads\": 0}") ==
            "s.json:2:1: threads: 0 is not allowed; it takes a whole number "
            "from 1 to 64");
}

Test(reader, an_unknown_key_is_an_error) {
  cr_assert(first_error("{\"member\": \"a\", \"zone\": \"z\",\n"
                        "\"caller\": {\"prot\": 1}}")
                .starts_with("s.json:2:12: caller.prot: no such key"));
}

Test(reader, a_required_key_must_be_there) {
  cr_assert(first_error("{\"member\": \"a\"}")
                .starts_with("s.json:1:1: zone: is missing"));
}

Test(reader, every_error_is_reported) {
  cr_assert(
      read_text("{\"a\": 1, \"caller\": 3, \"threads\": 1.5}").error().size() ==
      5);
}

Test(reader, odd_values_are_refused) {
  for (const char* value : {"\"\"", "\"a b\"", "1", "null", "[]"}) {
    cr_assert(
        !read_text(std::string("{\"zone\": \"z\", \"member\": ") + value + "}")
             .has_value());
  }
}

Test(reader, peers_cannot_be_sent_to_any_address) {
  cr_assert(first_error("{\"member\": \"a\", \"zone\": \"z\",\n"
                        "\"peer\": {\"address\": \"0.0.0.0\"}}")
                .starts_with("s.json:2:10: peer.address: \"0.0.0.0\" is not"));
}

Test(reader, printed_defaults_lack_only_what_is_required) {
  const Outcome outcome = read_text(print_defaults());
  cr_assert(!outcome.has_value());
  cr_assert(outcome.error().size() == 2);
}

}  // namespace
}  // namespace ibismux::settings
