/// How daemons of a zone tell each other how leafs fare.
/// docs/design/leaf-reports.md says why.
namespace cpp ibismux.reports.wire

/// What one or more daemons saw of one leaf of late.
struct Report {
  /// Together with `started_ms` the run that was seen.
  1: string leaf_id
  /// Calls that it rests on.
  2: double samples
  /// How many times the usual they took, less one, on average.
  3: double excess
  /// Share of them that failed.
  4: double failures
  /// When that run of the leaf started, by its own word; 0 where it has none.
  5: i64 started_ms
}

/// kLeafReports: up to the zone's hub, and down from it.
struct Reports {
  1: list<Report> reports
}
