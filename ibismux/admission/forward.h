#ifndef IBISMUX_ADMISSION_FORWARD_H_
#define IBISMUX_ADMISSION_FORWARD_H_

namespace ibismux::admission {

struct AdmissionRequest;
struct FleetRank;
struct LimitShare;
struct LimitUse;
struct PlanSet;
struct RequestEnd;
struct ServicePlan;
class AdaptiveLimit;
class Admission;
class AdmissionMetrics;
class LimitCountersTable;
class LimitCounters;
class LoadLimiter;
class Permit;
class PlanTable;
class RateMeter;

}  // namespace ibismux::admission

#endif  // IBISMUX_ADMISSION_FORWARD_H_
