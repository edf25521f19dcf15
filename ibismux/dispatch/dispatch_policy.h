#ifndef IBISMUX_DISPATCH_DISPATCH_POLICY_H_
#define IBISMUX_DISPATCH_DISPATCH_POLICY_H_

namespace ibismux::dispatch {

/// Switches for the mechanisms that decide when and where calls are sent. Each
/// can be switched off to measure its effect at a site, or because it makes
/// wrong decisions there. All but
/// `wait_for_token` and `pace_returns` are on by default;
/// docs/design/decisions.md lists the measured effect of each.
struct DispatchPolicy {
  /// Hedges a call that takes longer than usual by sending it to a second leaf.
  bool hedge = true;
  /// When a call finds its leaf unresponsive, hedges the other calls running at
  /// that leaf as well.
  bool share_unresponsive = true;
  /// Avoids sending further calls to leafs whose calls wait without any answer.
  bool avoid_unresponsive = true;
  /// Prefers leafs of the daemon's own zone.
  bool prefer_own_zone = true;
  /// Exchanges reports of slow and failing leafs among the daemons of a zone.
  bool zone_reports = true;
  /// Lets the daemons of a zone forget the reports of a slow leaf one after the
  /// other instead of all at once.
  bool staggered_memory = true;
  /// Takes recent load reports of the leafs themselves into account.
  bool use_leaf_load = true;
  /// Excludes a leaf for a while if it loses calls or can't be connected to.
  bool eject = true;
  /// Adapts the concurrency limit of a leaf to the latency of its calls.
  bool learn_window = true;
  /// Refuses requests at arrival if queueing would make their answers late.
  bool refuse_early = true;
  /// Serves waiting calls of one priority in a fair order of their customers.
  /// No effect without customers.
  bool fair_shares = true;
  /// Answers a query without its slowest shards once waiting for them would
  /// make the answer late.
  bool partial_answers = true;
  /// Hedges the calls of a query earlier and more often that can hardly leave
  /// out further shards.
  bool coverage_urgency = true;
  /// Sends a query that no leaf has answered lately to one leaf first, if its
  /// objective leaves time for that.
  bool canary = true;
  /// Leaves the tokens of a customer beyond its limit to requests that can
  /// still be in time. No effect without limits of customers.
  bool late_requests_last = true;
  /// Lets a request that is beyond its customer's limit wait for a token that
  /// comes in time for it. No effect without limits of customers.
  bool wait_for_token = false;
  /// Tells refused callers of a customer a later time to return, the longer the
  /// customer has been beyond its limit. No effect without limits of customers.
  bool pace_returns = false;
  /// Lets requests wait for what a daemon lacks after its start.
  bool hold_at_start = true;
  /// Keeps the leafs that run in the store, for daemons that start while the
  /// registry has lost their entries.
  bool leaf_checkpoint = true;
  /// Lets few daemons of each zone find out whether the store answers again.
  bool few_probes = true;
  /// Opens links to leafs before calls need them.
  bool open_ahead = true;
  /// Has queries over many shards gathered by a peer with more bandwidth.
  bool delegate_queries = true;
  /// Has queries gathered by peers of other zones while none of this zone takes
  /// them.
  bool gather_overflow = true;
  /// Assumes that a leaf that has just started answers more slowly.
  bool weigh_cold = true;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_POLICY_H_
