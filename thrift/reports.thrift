/// Messages by which the daemons of a zone exchange latency and failures of
/// leafs. docs/design/leaf-reports.md gives the reasons.
namespace cpp ibismux.reports.wire

/// Recent latency and failures of one leaf as seen by one or more daemons.
struct Report {
  /// Identifies, together with `started_ms`, the run of the leaf.
  1: string leaf_id
  /// Number of calls that it is based on.
  2: double samples
  /// Mean ratio of their latency to the usual one, minus one.
  3: double excess
  /// Share of the calls that failed, 0 to 1.
  4: double failures
  /// Start time of that run as stated by the leaf; 0 if it states none.
  5: i64 started_ms
}

/// Payload of kLeafReports: from the daemons of a zone to the root of its
/// distribution tree, and from the root down that tree.
struct Reports {
  1: list<Report> reports
}
