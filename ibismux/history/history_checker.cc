#include "ibismux/history/history_checker.h"

#include <numeric>
#include <utility>
#include <variant>

#include "ibismux/history/record_reader.h"

namespace ibismux::history {

namespace {

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/// Lines that certainly are runs, or certainly not, without reading them: the
/// writers put no space into their JSON. Others are read each time.
bool looks_like_run(std::string_view line) {
  return line.find(R"("type":"run")") != line.npos;
}
bool looks_like_query(std::string_view line) {
  return line.find(R"("type":"query")") != line.npos;
}

}  // namespace

std::size_t CheckCounts::total_violations() const {
  return std::accumulate(this->violations.begin(), this->violations.end(),
                         std::size_t{0});
}

HistoryChecker::HistoryChecker(CheckSettings settings, Report report)
    : settings(settings),
      report(std::move(report)),
      counted([this](const Violation& violation) { this->tell(violation); }),
      queries(this->runs, this->counted),
      reservations(this->counted),
      leaving(settings.leaving_allowed, this->counted),
      configuration(settings.in_force_allowed, this->counted) {}

void HistoryChecker::tell(const Violation& violation) {
  if (violation.kind == ViolationKind::kCutRequest) {
    ++this->results.cuts;
    if (this->settings.cuts_allowed) {
      return;
    }
  }
  ++this->results.violations[static_cast<std::size_t>(violation.kind)];
  this->report(violation);
}

void HistoryChecker::check(const Source& lines) {
  lines([this](std::string_view line) { this->survey(line); });
  lines([this](std::string_view line) { this->collect_runs(line); });
  this->runs.seal();
  this->reservations.check();
  this->configuration.check();
  lines([this](std::string_view line) { this->judge_queries(line); });
}

/// Everything but runs; of queries only what their runs must be watched for.
void HistoryChecker::survey(std::string_view line) {
  if (line.empty() || looks_like_run(line)) {
    return;
  }
  auto record = read_record(line);
  if (!record) {
    this->tell({ViolationKind::kUnreadable, std::string(line.substr(0, 80)),
                record.error().message});
    return;
  }
  std::visit(Overloaded{[this](const QueryRecord& query) {
                          ++this->results.queries;
                          if (query.exchange.says_not_run()) {
                            this->runs.watch(query.exchange.body_hash);
                          }
                        },
                        [this](const ReservationRecord& reservation) {
                          ++this->results.reservations;
                          this->reservations.add(reservation);
                        },
                        [this](const LeafStateRecord& state) {
                          this->leaving.add(state);
                        },
                        [this](const AcceptedRecord& accepted) {
                          this->configuration.add(accepted);
                        },
                        [this](const InForceRecord& in_force) {
                          this->configuration.add(in_force);
                        },
                        [](const RunRecord&) {}, [](const OtherRecord&) {}},
             *record);
}

void HistoryChecker::collect_runs(std::string_view line) {
  if (line.empty() || looks_like_query(line)) {
    return;
  }
  auto record = read_record(line);
  if (!record) {
    if (looks_like_run(line)) {  // survey() has not read it.
      this->tell({ViolationKind::kUnreadable, std::string(line.substr(0, 80)),
                  record.error().message});
    }
    return;
  }
  const auto* run = std::get_if<RunRecord>(&*record);
  if (run == nullptr) {
    return;
  }
  ++this->results.runs;
  this->leaving.check(*run);
  if (run->reservation) {
    this->reservations.add(*run);
  } else {
    this->runs.add(*run);
  }
}

void HistoryChecker::judge_queries(std::string_view line) {
  if (line.empty() || looks_like_run(line)) {
    return;
  }
  auto record = read_record(line);
  if (!record) {
    return;  // Told by survey().
  }
  if (const auto* query = std::get_if<QueryRecord>(&*record)) {
    this->queries.check(*query);
  }
}

}  // namespace ibismux::history
