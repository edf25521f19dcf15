#include "apps/ibismux-load/recorder.h"

#include <algorithm>
#include <iterator>

namespace ibismux::load {

namespace {

constexpr unsigned kBins = 1400;
constexpr double kLeastMs = 0.05;
constexpr double kMostMs = 60'000;
constexpr int kOk = 200;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : counts(boost::histogram::make_histogram_with(
          std::vector<std::uint32_t>(),
          Axis(kBins, kLeastMs, kMostMs))) {}

void LatencyHistogram::add(Duration latency) {
  this->counts(std::chrono::duration<double, std::milli>(latency).count());
}

void LatencyHistogram::merge(const LatencyHistogram& other) {
  this->counts += other.counts;
}

double LatencyHistogram::quantile(double share) const {
  double total = 0;
  for (const auto& count : this->counts) {
    total += count;
  }
  double seen = 0;
  // The bins below and above the range have the numbers -1 and size().
  const Axis& axis = this->counts.axis();
  for (int bin = -1; bin <= axis.size(); ++bin) {
    seen += this->counts.at(bin);
    if (total > 0 && seen >= share * total) {
      return axis.value(bin + 1);
    }
  }
  return 0;
}

void Tally::add(const AnswerFacts& facts, Duration latency) {
  if (facts.status == 0) {
    ++this->cut;
    return;
  }
  this->foreign += facts.foreign ? 1 : 0;
  this->leaf_calls += facts.leaf_calls;
  this->hedges += facts.hedges;
  this->retries += facts.retries;
  this->restarts += facts.restarts;
  this->repeats += facts.repeat ? 1 : 0;
  if (facts.status != kOk) {
    ++this->refused[facts.error];
    if (facts.error == "overloaded" && facts.retry_after_ms < 0) {
      ++this->no_retry_after;
    }
    this->refusal_latency.add(latency);
    return;
  }
  ++this->ok;
  this->shards += facts.shards;
  this->contributed += facts.contributed;
  this->full += facts.contributed == facts.shards ? 1 : 0;
  this->latency.add(latency);
}

void Tally::merge(const Tally& other) {
  static constexpr std::uint64_t Tally::*kCounts[] = {
      &Tally::sent,       &Tally::ok,
      &Tally::cut,        &Tally::foreign,
      &Tally::shards,     &Tally::contributed,
      &Tally::full,       &Tally::hedges,
      &Tally::leaf_calls, &Tally::retries,
      &Tally::restarts,   &Tally::attempts,
      &Tally::repeats,    &Tally::no_retry_after};
  for (const auto count : kCounts) {
    this->*count += other.*count;
  }
  for (const auto& [kind, number] : other.refused) {
    this->refused[kind] += number;
  }
  this->latency.merge(other.latency);
  this->refusal_latency.merge(other.refusal_latency);
}

Tally& Recorder::at(const std::string& group, Duration sent) {
  const auto second = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(sent).count());
  std::vector<Tally>& tallies = this->groups[group];
  if (tallies.size() <= second) {
    tallies.resize(second + 1);
  }
  return tallies[second];
}

void Recorder::merge(const Recorder& other) {
  this->worst_lag = std::max(this->worst_lag, other.worst_lag);
  for (const auto& [group, tallies] : other.groups) {
    std::vector<Tally>& own = this->groups[group];
    own.resize(std::max(own.size(), tallies.size()));
    for (std::size_t i = 0; i < tallies.size(); ++i) {
      own[i].merge(tallies[i]);
    }
  }
}

}  // namespace ibismux::load
