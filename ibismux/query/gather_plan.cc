#include "ibismux/query/gather_plan.h"

#include <algorithm>

#include "ibismux/query/query_request.h"
#include "ibismux/release/query_service.h"

namespace ibismux::query {

namespace {

using std::chrono::milliseconds;

/// The caller's deadline divided by this is reserved for sending the response.
/// Otherwise an answer sent right at the deadline would arrive too late, where
/// a partial one could have arrived in time.
constexpr int kResponseReserveDivisor = 20;
/// Upper limit of the reserved time.
constexpr milliseconds kMaxResponseReserve{10};

milliseconds allowed_time(const QueryRequest& request,
                          const release::QueryService& spec) {
  if (!request.deadline.has_value()) {
    return spec.deadline;
  }
  const milliseconds response_reserve = std::min(
      kMaxResponseReserve, *request.deadline / kResponseReserveDivisor);
  return std::min(spec.deadline, *request.deadline - response_reserve);
}

}  // namespace

GatherPlan make_gather_plan(const QueryRequest& request,
                            const release::QueryService& spec,
                            std::uint64_t seed) {
  const milliseconds allowed = allowed_time(request, spec);
  std::optional<TimePoint> answer_by;
  if (spec.answer_by.has_value()) {
    answer_by = request.received + std::min(*spec.answer_by, allowed);
  }
  return GatherPlan{
      DeadlinePolicy(request.received + allowed, answer_by,
                     request.min_coverage.value_or(spec.min_coverage)),
      request.most_hits, seed};
}

}  // namespace ibismux::query
