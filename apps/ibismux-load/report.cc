#include "apps/ibismux-load/report.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <fstream>

namespace ibismux::load {

namespace {

namespace json = boost::json;

double ratio(double part, double whole) {
  return whole > 0 ? part / whole : 0;
}

double ratio(std::uint64_t part, std::uint64_t whole) {
  return ratio(static_cast<double>(part), static_cast<double>(whole));
}

Tally sum(const std::vector<Tally>& seconds, std::size_t from, std::size_t to) {
  Tally total;
  for (std::size_t i = from; i < std::min(to, seconds.size()); ++i) {
    total.merge(seconds[i]);
  }
  return total;
}

json::object describe(const Tally& tally, double seconds) {
  json::object refused;
  for (const auto& [kind, number] : tally.refused) {
    refused[kind] = number;
  }
  json::object object{
      {"sent", tally.sent},
      {"ok", tally.ok},
      {"ok_per_s", ratio(static_cast<double>(tally.ok), seconds)},
      {"refused", refused},
      {"refused_p99_ms", tally.refusal_latency.quantile(0.99)},
      {"no_retry_after", tally.no_retry_after},
      {"cut", tally.cut},
      {"foreign", tally.foreign},
      {"p50_ms", tally.latency.quantile(0.5)},
      {"p99_ms", tally.latency.quantile(0.99)},
      {"p999_ms", tally.latency.quantile(0.999)},
      {"max_ms", tally.latency.quantile(1)}};
  if (tally.attempts > 0) {
    object["attempts"] = tally.attempts;
    object["repeats"] = tally.repeats;
  } else {
    object["coverage"] = ratio(tally.contributed, tally.shards);
    object["full_share"] = ratio(tally.full, tally.ok);
    object["leaf_calls_per_query"] = ratio(tally.leaf_calls, tally.ok);
    object["leaf_calls"] = tally.leaf_calls;
    object["hedges"] = tally.hedges;
    object["retries"] = tally.retries;
    object["restarts"] = tally.restarts;
  }
  return object;
}

}  // namespace

json::object summarize(const Experiment& experiment, const Recorder& recorder) {
  json::object groups;
  const auto length = static_cast<double>(experiment.length().count());
  for (const auto& [group, seconds] : recorder.groups) {
    json::object object = describe(sum(seconds, 0, seconds.size()), length);
    json::object phases;
    std::size_t from = 0;
    for (const Phase& phase : experiment.phases) {
      const auto count = static_cast<std::size_t>(phase.length.count());
      if (experiment.phases.size() > 1) {
        phases[phase.name] = describe(sum(seconds, from, from + count),
                                      static_cast<double>(count));
      }
      from += count;
    }
    if (!phases.empty()) {
      object["phases"] = std::move(phases);
    }
    groups[group] = std::move(object);
  }
  const std::chrono::duration<double, std::milli> lag = recorder.worst_lag;
  return {{"seconds", length},
          {"worst_lag_ms", lag.count()},
          {"groups", std::move(groups)}};
}

bool write_csv(const std::string& path, const Recorder& recorder) {
  std::ofstream file(path);
  file << "second,group,sent,ok,refused,cut,p50_ms,p99_ms,coverage\n";
  for (const auto& [group, seconds] : recorder.groups) {
    for (std::size_t i = 0; i < seconds.size(); ++i) {
      const Tally& tally = seconds[i];
      std::uint64_t refused = 0;
      for (const auto& [kind, number] : tally.refused) {
        refused += number;
      }
      file << i << ',' << group << ',' << tally.sent << ',' << tally.ok << ','
           << refused << ',' << tally.cut << ',' << tally.latency.quantile(0.5)
           << ',' << tally.latency.quantile(0.99) << ','
           << ratio(tally.contributed, tally.shards) << '\n';
    }
  }
  return file.good();
}

bool write_plot(const std::string& png,
                const std::string& csv,
                const Recorder& recorder) {
  std::ofstream file(png + ".gp");
  file << "set datafile separator ','\n"
          "set terminal pngcairo size 1000,700\n"
          "set output '"
       << png
       << "'\nset multiplot layout 2,1\nset key outside\n"
          "set xlabel 'second'\nset ylabel 'p99, ms'\nset logscale y\nplot ";
  const char* columns[] = {"8", "4"};
  for (const char* column : columns) {
    bool first = true;
    for (const auto& [group, seconds] : recorder.groups) {
      file << (first ? "" : ", ") << "'" << csv << "' using 1:(stringcolumn(2) "
           << "eq '" << group << "' ? $" << column
           << " : 1/0) with linespoints title '" << group << "'";
      first = false;
    }
    if (column == columns[0]) {
      file << "\nunset logscale y\nset ylabel 'good answers a second'\nplot ";
    }
  }
  file << "\nunset multiplot\n";
  return file.good();
}

}  // namespace ibismux::load
