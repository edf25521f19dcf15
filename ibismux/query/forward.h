#ifndef IBISMUX_QUERY_FORWARD_H_
#define IBISMUX_QUERY_FORWARD_H_

namespace ibismux::query {

struct Coverage;
struct GatherCall;
struct GatherPlan;
struct Hit;
struct PinnedSnapshot;
struct QueryAnswer;
struct QueryRequest;
struct GatherCounts;
struct PolicySet;
struct ServiceState;
class DeadlinePolicy;
class Gather;
class ServiceMetrics;
class HitMerger;
class LatencyQuantile;
class CallIdSource;
class LeafStats;
class PolicyTable;
class QueryEngine;
class QueryMetrics;
class ReplicaChoice;
class ServicePolicy;

}  // namespace ibismux::query

#endif  // IBISMUX_QUERY_FORWARD_H_
