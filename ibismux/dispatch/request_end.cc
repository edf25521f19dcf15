#include "ibismux/dispatch/request_end.h"

#include "ibismux/dispatch/dispatch_metrics.h"
#include "ibismux/dispatch/request_context.h"
#include "ibismux/eventlog/event_log.h"

namespace ibismux::dispatch {

void record_request_end(
    const RequestContext& context,
    const Outcome& outcome,
    bool partial,
    TimePoint now,
    const std::function<void(eventlog::Event& line)>& add_fields) {
  const routing::Route& route = *context.route;
  const Duration took = now - context.request.received;
  const Error* error = outcome ? nullptr : &outcome.error();
  if (!context.is_for_peer()) {
    context.metrics->request_ended(route.name, error, partial, took);
  }
  const bool is_ordinary = outcome && !partial && took <= route.objective;
  eventlog::Event line = context.log->event(
      is_ordinary ? eventlog::Weight::kOrdinary : eventlog::Weight::kFailure,
      "request_end");
  if (!line.enabled()) {
    return;
  }
  line.with("request", context.request.id)
      .with("route", route.name)
      .with("config", context.table->version())
      .with("outcome", error ? error_entry(error->kind).name
                             : (partial ? "partial" : "ok"))
      .with("took_ms", took)
      .with("objective_ms", Duration(route.objective))
      .with("left_ms", remaining(context.final_deadline, now));
  if (!context.request.customer.empty()) {
    line.with("customer", context.request.customer);
  }
  if (!is_ordinary) {
    line.with("digest", context.digest.text());
  }
  if (context.allowed_zones) {
    line.with("allowed_zones", context.allowed_zones->size());
  }
  add_fields(line);
  if (error) {
    line.with("message", error->message)
        .with("not_run", error->execution == Execution::kNotRun);
    if (error->retry_after) {
      line.with("retry_after_ms", error->retry_after->count());
    }
  }
}

}  // namespace ibismux::dispatch
