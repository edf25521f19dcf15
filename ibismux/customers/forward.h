#ifndef IBISMUX_CUSTOMERS_FORWARD_H_
#define IBISMUX_CUSTOMERS_FORWARD_H_

namespace ibismux::customers {

struct Customer;
struct OwnerCandidate;
struct RateCheck;
struct RateGrant;
struct RateLimit;
struct RateReply;
struct RateRequest;
struct RateTolerance;
class CustomerCounters;
class CustomerTable;
class DemandWindow;
class OwnerRefusals;
class OwnerRanking;
class OwnerSelector;
class RateAdmission;
class RateLimiter;
class RateOwner;
class ReturnTimes;
class StatedPatience;
class TokenBucket;
class TokenWait;
class TokenWaiters;
class UngrantedAllowance;

}  // namespace ibismux::customers

#endif  // IBISMUX_CUSTOMERS_FORWARD_H_
