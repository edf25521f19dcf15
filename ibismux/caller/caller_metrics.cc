#include "ibismux/caller/caller_metrics.h"

#include <memory>

namespace ibismux::caller {

namespace {

constexpr std::string_view kSuccess = "ok";

const prometheus::Histogram::BucketBoundaries& buckets() {
  static const prometheus::Histogram::BucketBoundaries seconds = {
      0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15,
      0.22,  0.35,  0.5,  1.0,  2.0,   5.0,  15.0,  60.0};
  return seconds;
}

}  // namespace

CallerMetrics::CallerMetrics(prometheus::Registry& registry)
    : requests(prometheus::BuildCounter()
                   .Name("ibismux_caller_requests_total")
                   .Help("Requests of callers that got their final answer")
                   .Register(registry)),
      seconds(prometheus::BuildHistogram()
                  .Name("ibismux_caller_request_seconds")
                  .Help("Time from a whole request to its answer")
                  .Register(registry)),
      table(std::make_shared<const Table>()) {}

void CallerMetrics::record(const std::string& service,
                           std::optional<ErrorKind> error,
                           Duration took) {
  const Children found =
      this->children(service, error ? error_entry(*error).name : kSuccess);
  found.requests->Increment();
  found.seconds->Observe(std::chrono::duration<double>(took).count());
}

CallerMetrics::Children CallerMetrics::children(const std::string& service,
                                                std::string_view result) {
  const Key key(service, result);
  {
    const auto known = this->table.read();
    const auto found = known->find(key);
    if (found != known->end()) {
      return found->second;
    }
  }
  const std::lock_guard lock(this->writers);
  const prometheus::Labels labels = {{"service", service},
                                     {"result", std::string(result)}};
  const Children fresh = {&this->requests.Add(labels),
                          &this->seconds.Add(labels, buckets())};
  auto grown = std::make_shared<Table>(*this->table.read());
  grown->emplace(key, fresh);
  this->table.write(std::move(grown));
  return fresh;
}

}  // namespace ibismux::caller
