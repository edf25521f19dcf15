#include "ibismux/dispatch/dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "ibismux/base/text_hash.h"
#include "ibismux/dispatch/repeat_burst.h"
#include "ibismux/eventlog/event_log.h"

namespace ibismux::dispatch {

namespace {

// Initial estimate of a route's typical latency, as a share of its objective.
// It is the usual ratio for routes whose objective was set by someone who knows
// the workload.
constexpr double kInitialLatencyShare = 0.12;
// The same for whole requests, which take as long as their slowest call.
constexpr double kInitialRunShare = 0.4;

/// Whether a leaf has another address, service or zone than before. Its links,
/// its position among the replicas and its measurements are then invalid.
bool has_moved(const directory::LeafEntry& before,
               const directory::LeafEntry& now) noexcept {
  return before.address != now.address || before.port != now.port ||
         before.service != now.service || before.zone != now.zone;
}

}  // namespace

Dispatcher::Dispatcher(boost::asio::io_context& loop,
                       const LeafConnector& connector,
                       DispatchSettings settings,
                       prometheus::Registry& registry,
                       eventlog::EventLog& log)
    : loop(loop),
      connector(connector),
      settings(std::move(settings)),
      metrics(registry),
      log(log),
      random(std::hash<std::string>()(this->settings.member)),
      opener(std::make_shared<LinkOpener>(loop, this->random())) {
  this->fleet.hosts = this->settings.hosts;
  this->fleet.zone = this->settings.zone;
  if (this->settings.policy.open_ahead) {
    this->opener->start();
  }
}

bool Dispatcher::activate(std::shared_ptr<const routing::RouteTable> table) {
  if (this->active_table && table->version() <= this->active_table->version()) {
    return false;
  }
  const customers::CustomerTable* customers = table->customers();
  this->log.event(eventlog::Weight::kBelief, "config_in_force")
      .with("config", table->version())
      .with("before", this->active_table ? this->active_table->version() : 0)
      .with("routes", table->routes().size())
      .with("customers", customers ? customers->size() : 0)
      .with("odd_customer_entries", customers ? customers->odd_entries() : 0);
  this->active_table = std::move(table);
  std::set<std::string> names;
  for (const routing::Route& route : this->active_table->routes()) {
    names.insert(route.name);
  }
  std::erase_if(this->latencies,
                [&](const auto& row) { return !names.contains(row.first); });
  std::erase_if(this->splits,
                [&](const auto& row) { return !names.contains(row.first); });
  this->log_routes_without_zones();
  this->distribute_links();
  this->notify_start_waiters();
  return true;
}

void Dispatcher::log_routes_without_zones() {
  if (!this->active_table) {
    return;
  }
  for (const routing::Route& route : this->active_table->routes()) {
    if (!route.allowed_regions.empty() &&
        zones_in(this->settings.zone_regions, route.allowed_regions).empty()) {
      this->log.event(eventlog::Weight::kBelief, "route_without_zones")
          .with("route", route.name)
          .with("config", this->active_table->version())
          .with("regions", route.allowed_regions.size())
          .with("known_zones", this->settings.zone_regions.size());
    }
  }
}

void Dispatcher::set_fleet(LinkSharers fleet) {
  fleet.zone = this->settings.zone;
  if (fleet == this->fleet) {
    return;
  }
  this->log.event(eventlog::Weight::kBelief, "fleet_size")
      .with("hosts", fleet.hosts)
      .with("rank", fleet.rank)
      .with("gatherers", fleet.gatherers)
      .with("gathers", fleet.gathers)
      .with("before", this->fleet.hosts);
  this->fleet = std::move(fleet);
  this->distribute_links();
  this->update_repeat_budgets();
}

void Dispatcher::set_evacuated(ZoneNames zones) {
  const auto log_zones = [this](std::string_view event, const auto& these,
                                const auto& others) {
    for (const std::string& zone : these) {
      if (!others.contains(zone)) {
        this->log.event(eventlog::Weight::kBelief, event).with("zone", zone);
      }
    }
  };
  log_zones("zone_evacuated", zones, this->evacuated);
  log_zones("zone_back_in_service", this->evacuated, zones);
  this->evacuated = std::move(zones);
  for (const auto& [id, leaf] : this->leafs) {
    leaf->set_evacuated(this->evacuated.contains(leaf->entry().zone));
  }
  this->distribute_links();
  for (const auto& [name, group] : this->groups) {
    group->serve_waiting();
  }
}

void Dispatcher::update_settings(const DispatchSettings& updated) {
  this->settings.repeat_share = updated.repeat_share;
  this->settings.repeat_slack = updated.repeat_slack;
  this->settings.remote_cost = updated.remote_cost;
  if (updated.zone_regions != this->settings.zone_regions) {
    this->settings.zone_regions = updated.zone_regions;
    this->log_routes_without_zones();
  }
  this->update_repeat_budgets();
}

void Dispatcher::update_repeat_budgets() {
  for (const auto& [name, group] : this->groups) {
    group->set_repeat_burst(
        repeat_burst(this->settings.repeat_slack, this->fleet));
  }
}

void Dispatcher::distribute_links() {
  for (const auto& [name, group] : this->groups) {
    this->distribute_links(*group);
  }
}

void Dispatcher::distribute_links(const ServiceGroup& group) {
  const routing::ServiceSpec* spec =
      this->active_table ? this->active_table->service(group.name()) : nullptr;
  std::vector<Replica> replicas;
  std::vector<Leaf*> eligible_leafs;
  for (const auto& leaf : group.leafs()) {
    // Links of evacuated replicas are distributed among the others.
    if (!leaf->is_evacuated()) {
      replicas.push_back({leaf->entry().zone, spec ? spec->leaf_connections : 0,
                          leaf->entry().slots});
      eligible_leafs.push_back(leaf.get());
    }
  }
  const std::vector<LinkGrant> grants = plan_links(replicas, this->fleet);
  for (std::size_t i = 0; i < grants.size(); ++i) {
    eligible_leafs[i]->grant_links(grants[i]);
  }
  for (const auto& leaf : group.leafs()) {
    const bool is_limited = spec && spec->warmup_rate > 0;
    leaf->set_warmup(is_limited ? Duration(spec->warmup) : Duration::zero(),
                     is_limited ? cold_share(spec->warmup_rate, this->fleet,
                                             text_hash(leaf->entry().run.id))
                                : ColdShare{});
  }
}

void Dispatcher::on_listing_begin() {
  this->in_first_listing = this->leafs.empty();
}

void Dispatcher::on_listing_end() {
  this->listed = true;
  this->notify_start_waiters();
  if (!std::exchange(this->in_first_listing, false)) {
    return;
  }
  this->distribute_links();
  if (!this->leafs.empty()) {
    this->log.event(eventlog::Weight::kBelief, "leafs_listed")
        .with("leafs", this->leafs.size())
        .with("services", this->groups.size())
        .with("first", this->leafs.begin()->first)
        .with("last", this->leafs.rbegin()->first);
  }
}

void Dispatcher::on_leaf_updated(const directory::LeafEntry& entry) {
  const auto known = this->leafs.find(entry.run.id);
  if (known == this->leafs.end()) {
    if (!this->in_first_listing) {
      this->log_leaf("leaf_new", entry);
    }
    this->add_leaf(entry);
    return;
  }
  const directory::LeafEntry before = known->second->entry();
  if (before.run != entry.run) {
    this->log_leaf("leaf_restarted", entry);
    this->drop_leaf(entry.run.id, &Leaf::end_run);
    this->add_leaf(entry);
  } else if (has_moved(before, entry)) {
    this->log_leaf("leaf_moved", entry);
    this->drop_leaf(entry.run.id, &Leaf::retire);
    this->add_leaf(entry);
  } else {
    if (before.draining != entry.draining) {
      this->log_leaf("leaf_changed", entry);
    }
    known->second->update(entry);
  }
}

void Dispatcher::on_leaf_removed(const std::string& id,
                                 std::string_view reason) {
  const auto known = this->leafs.find(id);
  if (known == this->leafs.end()) {
    return;
  }
  this->log.event(eventlog::Weight::kBelief, "leaf_gone")
      .with("leaf", id)
      .with("service", known->second->entry().service)
      .with("reason", reason);
  this->drop_leaf(id, &Leaf::retire);
}

void Dispatcher::on_outdated_entry(const directory::LeafEntry& entry) {
  this->log_leaf("leaf_entry_outdated", entry);
}

void Dispatcher::add_leaf(const directory::LeafEntry& entry) {
  const auto group = this->group(entry.service);
  auto leaf = std::make_shared<Leaf>(this->loop, this->connector, this->log,
                                     this->settings.policy, entry,
                                     [weak = std::weak_ptr(group)] {
                                       if (const auto group = weak.lock()) {
                                         group->serve_waiting();
                                       }
                                     });
  leaf->set_evacuated(this->evacuated.contains(entry.zone));
  this->leafs.emplace(entry.run.id, leaf);
  this->opener->add(leaf);
  group->add(std::move(leaf));
  if (!this->in_first_listing) {
    this->distribute_links(*group);
  }
}

void Dispatcher::drop_leaf(const std::string& id, void (Leaf::*end)()) {
  const auto known = this->leafs.find(id);
  const std::shared_ptr<Leaf> leaf = known->second;
  this->leafs.erase(known);
  const auto group = this->groups.find(leaf->entry().service);
  if (group != this->groups.end()) {
    group->second->remove(*leaf);
    this->distribute_links(*group->second);
  }
  // Last, because calls that this ends are retried and must not choose this
  // leaf again.
  ((*leaf).*end)();
}

void Dispatcher::log_leaf(std::string_view event,
                          const directory::LeafEntry& entry) {
  this->log.event(eventlog::Weight::kBelief, event)
      .with("leaf", entry.run.id)
      .with("started_ms", entry.run.started.count())
      .with("sequence", entry.sequence)
      .with("service", entry.service)
      .with("address", entry.address)
      .with("port", entry.port)
      .with("zone", entry.zone)
      .with("draining", entry.draining)
      .with("warmup_left_ms", entry.warmup_left.count());
}

std::shared_ptr<ServiceGroup> Dispatcher::group(const std::string& service) {
  auto& group = this->groups[service];
  if (!group) {
    group = std::make_shared<ServiceGroup>(
        service, this->settings,
        repeat_burst(this->settings.repeat_slack, this->fleet));
  }
  return group;
}

Dispatcher::RouteLatency& Dispatcher::typical_latency(
    const routing::Route& route) {
  RouteLatency& typical = this->latencies[route.name];
  if (!typical.call) {
    typical.call = std::make_shared<TypicalLatency>(
        scaled(route.objective, kInitialLatencyShare));
    typical.run = std::make_shared<TypicalLatency>(
        scaled(route.objective, kInitialRunShare));
  }
  return typical;
}

std::vector<std::shared_ptr<ServiceGroup>> Dispatcher::target_groups(
    const routing::Route& route) {
  std::vector<std::shared_ptr<ServiceGroup>> target_groups;
  if (!route.is_scatter()) {
    target_groups.push_back(
        this->group(this->splits[route.name].next(route.split)));
    return target_groups;
  }
  for (const std::string& shard : route.shards) {
    target_groups.push_back(this->group(shard));
  }
  return target_groups;
}

}  // namespace ibismux::dispatch
