#include "ibismux/quarantine/answered_requests.h"

#include <criterion/criterion.h>

namespace ibismux::quarantine {
namespace {

RequestDigest digest(std::size_t number) {
  const std::string target = std::to_string(number);
  return RequestDigest({"GET", "a.example", target, ""});
}

Test(answered_requests, forgets_the_oldest) {
  AnsweredRequests answered;
  for (std::size_t i = 0; i <= AnsweredRequests::kMaxRequests; ++i) {
    answered.add(digest(i));
    answered.add(digest(i));
  }
  cr_assert(!answered.contains(digest(0)));
  cr_assert(answered.contains(digest(1)));
  cr_assert(answered.contains(digest(AnsweredRequests::kMaxRequests)));
}

Test(answered_requests, a_request_that_ended_a_leaf_is_removed) {
  AnsweredRequests answered;
  answered.add(digest(1));
  answered.remove(digest(1));
  answered.remove(digest(2));
  cr_assert(!answered.contains(digest(1)));
}

}  // namespace
}  // namespace ibismux::quarantine
