#include "ibismux/edge/edge_settings.h"

#include <array>

namespace ibismux::edge {

namespace {

using settings::TextForm;
using std::chrono::milliseconds;
using Key = settings::Field<EdgeSettings>;
using Text = settings::TextField<EdgeSettings>;
using Number = settings::NumberField<EdgeSettings>;
using Flag = settings::FlagField<EdgeSettings>;
using Real = settings::RealField<EdgeSettings>;
using Millis = settings::MillisField<EdgeSettings>;
using Seconds = settings::SecondsField<EdgeSettings>;
using TextMap = settings::TextMapField<EdgeSettings>;

// What the platform tells (rates, budgets, times) is worked out there and may
// have a fraction or grow with the fleet, so these bounds only keep out what
// can't be meant.
constexpr double kMostRate = 1e9;   // Calls a second.
constexpr double kMostSlack = 1e9;  // Calls.
constexpr double kMostRatio = 100;  // Repeats for each request.
constexpr double kMostLink = 1e9;   // Mbit/s.

const std::array kFields = {
    Key{"member", "Name of this host.",
        Text{&EdgeSettings::member, TextForm::kName}, true},
    Key{"zone", "Availability zone of this host.",
        Text{&EdgeSettings::zone, TextForm::kName}, true},
    Key{"zone_regions",
        "The region of each availability zone. Requests that are bound to "
        "regions are sent to no zone that is not named here.",
        TextMap{&EdgeSettings::zone_regions}},

    Key{"host.link_mbps",
        "Width of this host's network link, in Mbit/s; 0: not known, and "
        "queries are neither handed over nor taken over.",
        Real{&EdgeSettings::link_mbps, 0, kMostLink}},

    Key{"caller.endpoint", "Where callers connect.",
        Text{&EdgeSettings::caller_endpoint, TextForm::kEndpoint}, true},
    Key{"ready.endpoint",
        "Where the balancer asks whether this daemon takes callers.",
        Text{&EdgeSettings::ready_endpoint, TextForm::kEndpoint}, true},
    Key{"metrics.endpoint", "Where metrics are served, as text.",
        Text{&EdgeSettings::metrics_endpoint, TextForm::kEndpoint}},

    Key{"fleet.endpoint",
        "Where the other daemons reach this one; empty: it goes alone.",
        Text{&EdgeSettings::peer_endpoint, TextForm::kEndpointOrNone}},
    Key{"fleet.hosts",
        "How many daemons to assume until they have been met; divides "
        "what leafs and services bear.",
        Number{&EdgeSettings::hosts, 1, 10'000}},
    Key{"fleet.watchers",
        "Daemons of each zone that follow the store and pass its updates on.",
        Number{&EdgeSettings::watchers, 1, 100}},

    Key{"fleet.first_start",
        "The whole fleet starts for the first time, without callers yet: leave "
        "it to a few to read the store, and learn from them.",
        Flag{&EdgeSettings::first_start}},

    Key{"store.endpoint", "The platform's object store.",
        Text{&EdgeSettings::store_endpoint, TextForm::kEndpoint}, true},
    Key{"store.fleet_reads_per_second",
        "Reads that all daemons together may send. The same on all daemons.",
        Real{&EdgeSettings::fleet_reads_per_second, 0, kMostRate}},
    Key{"store.fleet_writes_per_second",
        "Writes that all daemons together may send. The same on all daemons.",
        Real{&EdgeSettings::fleet_writes_per_second, 0, kMostRate}},
    Key{"store.watch_wait_ms", "How long a watch without changes stays open.",
        Millis{&EdgeSettings::watch_wait, milliseconds(100),
               milliseconds(30'000)}},
    Key{"store.change_pause_ms",
        "After a change: how long further ones may gather before the next "
        "call.",
        Millis{&EdgeSettings::change_pause, milliseconds(0),
               milliseconds(2000)}},
    Key{"store.check_interval_ms",
        "How often a cheap read checks that the store still answers.",
        Millis{&EdgeSettings::check_interval, milliseconds(100),
               milliseconds(60'000)}},

    Key{"repeats.ratio",
        "Extra arrivals that a service bears from all daemons, as a share of "
        "its requests.",
        Real{&EdgeSettings::repeat_ratio, 0, kMostRatio}},
    Key{"repeats.slack",
        "Extra arrivals that a service bears besides, in one window of "
        "seconds, from all daemons.",
        Real{&EdgeSettings::repeat_slack, 0, kMostSlack}},
    Key{"leaf.remote_cost",
        "What a leaf of another zone must be better by, in times of what a "
        "call usually takes.",
        Real{&EdgeSettings::remote_cost, 0, 10}},

    Key{"policy.hedge",
        "Send a call that takes longer than usual to a second leaf.",
        Flag{&EdgeSettings::hedge}},
    Key{"policy.share_unresponsive",
        "Hedge all calls at a leaf that one call found unresponsive.",
        Flag{&EdgeSettings::share_unresponsive}},
    Key{"policy.avoid_unresponsive",
        "Send no calls to leafs at which calls wait without answers.",
        Flag{&EdgeSettings::avoid_unresponsive}},
    Key{"policy.prefer_own_zone", "Prefer leafs of this daemon's zone.",
        Flag{&EdgeSettings::prefer_own_zone}},
    Key{"policy.zone_reports",
        "Share what is seen of leafs with the daemons of the zone.",
        Flag{&EdgeSettings::zone_reports}},
    Key{"policy.staggered_memory",
        "Let daemons forget a slow leaf one after the other.",
        Flag{&EdgeSettings::staggered_memory}},
    Key{"policy.use_leaf_load",
        "Take leafs to be as loaded as they have just said.",
        Flag{&EdgeSettings::use_leaf_load}},
    Key{"policy.eject", "Leave out leafs that lose calls or can't be dialled.",
        Flag{&EdgeSettings::eject}},
    Key{"policy.learn_window",
        "Let a leaf have as many calls as it answers without a queue.",
        Flag{&EdgeSettings::learn_window}},
    Key{"policy.refuse_early", "Refuse requests that queues would make late.",
        Flag{&EdgeSettings::refuse_early}},
    Key{"policy.partial_answers",
        "Answer queries without their last shards rather than late.",
        Flag{&EdgeSettings::partial_answers}},
    Key{"policy.open_ahead", "Open links to leafs before calls need them.",
        Flag{&EdgeSettings::open_ahead}},
    Key{"policy.delegate_queries",
        "Have queries over many shards gathered by a peer of the zone whose "
        "link is much wider.",
        Flag{&EdgeSettings::delegate_queries}},
    Key{"policy.weigh_cold", "Take leafs that have just started to be slower.",
        Flag{&EdgeSettings::weigh_cold}},

    Key{"stop.limit_s", "On SIGTERM: the longest wait for requests in flight.",
        Seconds{&EdgeSettings::stop_limit, milliseconds(0),
                milliseconds(600'000)}},
    Key{"stop.leave_notice_ms",
        "On SIGTERM: how long new callers are still served, while the balancer "
        "notices.",
        Millis{&EdgeSettings::leave_notice, milliseconds(0),
               milliseconds(60'000)}},

    Key{"log.ordinary_per_second", "Lines about requests that went well.",
        Number{&EdgeSettings::log_ordinary, 1, 100'000}},
    Key{"log.failures_per_second", "Lines about requests that didn't.",
        Number{&EdgeSettings::log_failures, 1, 100'000}},
    Key{"log.beliefs_per_second",
        "Lines about what the daemon holds to be true of leafs, store and "
        "configuration.",
        Number{&EdgeSettings::log_beliefs, 1, 100'000}},
};

}  // namespace

std::span<const Key> edge_fields() noexcept {
  return kFields;
}

}  // namespace ibismux::edge
