#include "ibismux/admission/admission.h"
#include "ibismux/caller/caller_api.h"
#include "ibismux/caller/caller_ports.h"
#include "ibismux/query/query_engine.h"
#include "ibismux/reservation/reservation_engine.h"

namespace ibismux::caller {

namespace {

CallerPorts ports_of(query::QueryEngine& queries,
                     admission::Admission& admission,
                     reservation::ReservationEngine& reservations,
                     std::function<bool()> ready) {
  CallerPorts ports;
  ports.admit = [&admission](const std::string& service,
                             const std::string& caller, TimePoint now) {
    return admission.admit(service, caller, now);
  };
  ports.query = [&queries](query::QueryRequest request,
                           std::shared_ptr<http::CancelToken> cancel) {
    return queries.run(std::move(request), std::move(cancel));
  };
  ports.reserve = [&reservations](reservation::ReservationRequest request) {
    return reservations.reserve(std::move(request));
  };
  ports.ask = [&reservations](std::string service, std::string key,
                              TimePoint deadline) {
    return reservations.ask(std::move(service), std::move(key), deadline);
  };
  ports.issue_ticket = [&reservations] { return reservations.issue_ticket(); };
  ports.ready = std::move(ready);
  return ports;
}

}  // namespace

CallerApi::CallerApi(query::QueryEngine& queries,
                     admission::Admission& admission,
                     reservation::ReservationEngine& reservations,
                     std::function<bool()> ready,
                     prometheus::Registry& metrics,
                     std::uint64_t seed)
    : CallerApi(ports_of(queries, admission, reservations, std::move(ready)),
                metrics,
                seed) {}

}  // namespace ibismux::caller
