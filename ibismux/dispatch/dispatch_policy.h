#ifndef IBISMUX_DISPATCH_DISPATCH_POLICY_H_
#define IBISMUX_DISPATCH_DISPATCH_POLICY_H_

namespace ibismux::dispatch {

/// The mechanisms by which calls are placed, each of which can be switched off:
/// to measure what it is worth on a site, or to live without one that misjudges
/// a site. All are on by default; docs/design/decisions.md has what each was
/// worth where.
struct DispatchPolicy {
  /// A call that takes longer than usual is sent to a second leaf.
  bool hedge = true;
  /// A call that finds its leaf unresponsive has the others there hedged too.
  bool share_unresponsive = true;
  /// Leafs at which calls wait without any answer get no more.
  bool avoid_unresponsive = true;
  /// Leafs of the daemon's own zone are preferred.
  bool prefer_own_zone = true;
  /// Daemons of a zone tell each other which leafs are slow or fail.
  bool zone_reports = true;
  /// They forget a slow leaf one after the other, not all at once.
  bool staggered_memory = true;
  /// What leafs say of their own load counts, for as long as it is recent.
  bool use_leaf_load = true;
  /// A leaf that loses calls or can't be dialled is left out for a while.
  bool eject = true;
  /// How many calls a leaf may have at once follows how long they take.
  bool learn_window = true;
  /// Requests that queues would make late are refused before they begin.
  bool refuse_early = true;
  /// A query is answered without its last shards once waiting for them would
  /// make it late.
  bool partial_answers = true;
  /// Links to leafs are opened before calls need them.
  bool open_ahead = true;
  /// Queries over many shards are gathered by a peer with a wider link.
  bool delegate_queries = true;
  /// A leaf that has just started is taken to be slower.
  bool weigh_cold = true;
};

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_DISPATCH_POLICY_H_
