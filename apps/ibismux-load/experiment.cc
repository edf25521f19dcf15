#include "apps/ibismux-load/experiment.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <functional>
#include <utility>

#include "ibismux/jsonc/document.h"

namespace ibismux::load {

namespace {

namespace json = boost::json;

/// Where a key's value goes; throws what Boost.JSON throws on a wrong type.
template <class T>
using Setters = std::map<std::string_view, void (*)(T&, const json::value&)>;

template <class T>
void take(T& target,
          const json::value& value,
          const Setters<T>& setters,
          std::string_view path,
          std::vector<std::string>& wrong) {
  if (!value.is_object()) {
    wrong.push_back(std::string(path) + ": expected an object");
    return;
  }
  for (const auto& member : value.as_object()) {
    const std::string_view key(member.key().data(), member.key().size());
    const auto setter = setters.find(key);
    try {
      if (setter == setters.end()) {
        wrong.push_back(std::string(path) + "." + std::string(key) +
                        ": unknown key");
      } else {
        setter->second(target, member.value());
      }
    } catch (const boost::system::system_error& problem) {
      wrong.push_back(std::string(path) + "." + std::string(key) + ": " +
                      problem.what());
    }
  }
}

std::string text(const json::value& value) {
  return json::value_to<std::string>(value);
}

template <class T>
T number(const json::value& value) {
  return value.to_number<T>();
}

std::chrono::milliseconds millis(const json::value& value) {
  return std::chrono::milliseconds(number<std::int64_t>(value));
}

const Setters<ServiceLoad>& service_setters() {
  using S = ServiceLoad;
  using V = const json::value&;
  static const Setters<S> setters = {
      {"name", [](S& s, V v) { s.name = text(v); }},
      {"group", [](S& s, V v) { s.group = text(v); }},
      {"kind", [](S& s, V v) { s.reservation = text(v) == "reservation"; }},
      {"rate", [](S& s, V v) { s.rate = number<double>(v); }},
      {"deadline_ms", [](S& s, V v) { s.deadline = millis(v); }},
      {"body_bytes", [](S& s, V v) { s.body_bytes = number<unsigned>(v); }},
      {"callers", [](S& s, V v) { s.callers = number<unsigned>(v); }},
      {"items", [](S& s, V v) { s.items = number<unsigned>(v); }},
      {"retries", [](S& s, V v) { s.retries = number<unsigned>(v); }},
      {"keyed", [](S& s, V v) { s.keyed = v.as_bool(); }},
      {"tickets", [](S& s, V v) { s.tickets = v.as_bool(); }},
      {"burst_share", [](S& s, V v) { s.burst_share = number<double>(v); }},
      {"other_body_share",
       [](S& s, V v) { s.other_body_share = number<double>(v); }},
  };
  return setters;
}

const Setters<Phase>& phase_setters() {
  using P = Phase;
  using V = const json::value&;
  static const Setters<P> setters = {
      {"name", [](P& p, V v) { p.name = text(v); }},
      {"seconds",
       [](P& p, V v) {
         p.length = std::chrono::seconds(number<std::int64_t>(v));
       }},
      {"factor", [](P& p, V v) { p.factor = number<double>(v); }},
      {"groups",
       [](P& p, V v) {
         for (const auto& member : v.as_object()) {
           p.groups[member.key()] = number<double>(member.value());
         }
       }},
  };
  return setters;
}

struct Reading {
  Experiment experiment;
  std::vector<std::string> wrong;
};

void take_services(Reading& reading, const json::value& list) {
  for (const json::value& value : list.as_array()) {
    ServiceLoad& service = reading.experiment.services.emplace_back();
    take(service, value, service_setters(), "services", reading.wrong);
    if (service.group.empty()) {
      service.group = service.name;
    }
  }
}

void take_phases(Reading& reading, const json::value& list) {
  for (const json::value& value : list.as_array()) {
    Phase& phase = reading.experiment.phases.emplace_back();
    take(phase, value, phase_setters(), "phases", reading.wrong);
    if (phase.name.empty()) {
      phase.name = std::to_string(reading.experiment.phases.size());
    }
  }
}

const Setters<Reading>& experiment_setters() {
  using R = Reading;
  using V = const json::value&;
  static const Setters<R> setters = {
      {"seed", [](R& r, V v) { r.experiment.seed = number<std::uint64_t>(v); }},
      {"threads",
       [](R& r, V v) { r.experiment.threads = number<std::size_t>(v); }},
      {"balance",
       [](R& r, V v) { r.experiment.random_balance = text(v) == "random"; }},
      {"client_timeout_ms",
       [](R& r, V v) { r.experiment.client_timeout = millis(v); }},
      {"services", take_services},
      {"phases", take_phases},
  };
  return setters;
}

}  // namespace

double Phase::factor_of(const std::string& group) const {
  const auto own = this->groups.find(group);
  return own == this->groups.end() ? this->factor : own->second;
}

std::chrono::seconds Experiment::length() const {
  std::chrono::seconds sum{0};
  for (const Phase& phase : this->phases) {
    sum += phase.length;
  }
  return sum;
}

Result<Experiment> read_experiment(const std::string& path) {
  Result<jsonc::Document> document = jsonc::parse_file(path);
  if (!document) {
    return tl::unexpected(document.error());
  }
  Reading reading;
  take(reading, document->root, experiment_setters(), path, reading.wrong);
  if (reading.experiment.services.empty() ||
      reading.experiment.length() <= std::chrono::seconds(0)) {
    reading.wrong.push_back(path + ": needs services and phases");
  }
  if (!reading.wrong.empty()) {
    return fail(ErrorKind::kInvalidRequest, reading.wrong.front());
  }
  return std::move(reading.experiment);
}

}  // namespace ibismux::load
