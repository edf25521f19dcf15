#include "ibismux/quarantine/request_digest.h"

#include <criterion/criterion.h>

namespace ibismux::quarantine {
namespace {

Test(request_digest, each_part_and_its_boundaries_change_the_digest) {
  const RequestContent content{"GET", "a.example", "/q/1?x=2", "body"};
  const RequestDigest digest(content);
  cr_assert(digest == RequestDigest(content));
  cr_assert(digest != RequestDigest({"PUT", "a.example", "/q/1?x=2", "body"}));
  cr_assert(digest != RequestDigest({"GET", "b.example", "/q/1?x=2", "body"}));
  cr_assert(digest != RequestDigest({"GET", "a.example", "/q/1?x=3", "body"}));
  cr_assert(digest !=
            RequestDigest({"GET", "a.example", "/q/1?x=2", "bodies"}));
  cr_assert(digest != RequestDigest({"GET", "a.example", "/q/1?x=2b", "ody"}));
}

Test(request_digest, the_text_round_trips) {
  const RequestDigest digest({"GET", "a.example", "/q/1", ""});
  cr_assert(digest.text().size() == 32);
  cr_assert(RequestDigest::parse(digest.text()) == digest);
}

Test(request_digest, malformed_text_is_refused) {
  const std::string text = RequestDigest({"GET", "a", "/", ""}).text();
  cr_assert(!RequestDigest::parse("").has_value());
  cr_assert(!RequestDigest::parse(text.substr(1)).has_value());
  cr_assert(!RequestDigest::parse(text + "0").has_value());
  cr_assert(!RequestDigest::parse("g" + text.substr(1)).has_value());
  cr_assert(!RequestDigest::parse("-" + text.substr(1)).has_value());
}

}  // namespace
}  // namespace ibismux::quarantine
