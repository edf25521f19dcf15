#include "ibismux/customers/bearer_key.h"

#include <vector>

#include <criterion/criterion.h>

namespace ibismux::customers::testing {
namespace {

std::string key_of(std::vector<std::string> values) {
  const auto key = bearer_key(values);
  if (!key) {
    cr_assert(key.error().kind == ErrorKind::kUnauthorized);
    cr_assert(key.error().execution == Execution::kNotRun);
    return "";
  }
  return std::string(*key);
}

Test(bearer_key, the_scheme_is_in_any_case_and_blanks_are_ignored) {
  for (const char* value : {"Bearer k1", "bearer k1", "BEARER k1",
                            "Bearer  \t k1", " Bearer k1 ", "\tBearer\tk1\t"}) {
    cr_assert(key_of({value}) == "k1", "%s", value);
  }
}

Test(bearer_key, odd_credentials_have_no_key) {
  for (const char* value : {"", " ", "Bearer", "Bearer ", "k1", "Bearerk1",
                            "Basic k1", "Bearer k1 k2", "Bearer k1, Basic k2",
                            "Basic k2, Bearer k1", "X Bearer k1"}) {
    cr_assert(key_of({value}).empty(), "%s", value);
  }
  cr_assert(key_of({}).empty());
  cr_assert(key_of({"Bearer " + std::string(kMaxKeyBytes + 1, 'k')}).empty());
}

// Guards against two receivers of a request that read different keys.
Test(bearer_key, a_repeated_field_has_no_key) {
  cr_assert(key_of({"Bearer k1", "Bearer k1"}).empty());
  cr_assert(key_of({"Basic x", "Bearer k1"}).empty());
}

// Guards against keys in error texts and logs.
Test(bearer_key, errors_do_not_repeat_the_field) {
  for (const char* value : {"Basic secret", "Bearer secret x", "secret"}) {
    const std::vector<std::string> values = {value};
    const auto key = bearer_key(values);
    cr_assert(key.error().message.find("secret") == std::string::npos);
  }
}

}  // namespace
}  // namespace ibismux::customers::testing
