#ifndef IBISMUX_STORE_FORWARD_H_
#define IBISMUX_STORE_FORWARD_H_

namespace ibismux::store {

enum class CallKind : unsigned char;
enum class CallResult : unsigned char;
enum class PlatformState : unsigned char;
struct FleetBudget;
struct HealthSettings;
struct HostEntry;
struct PlatformSettings;
struct StoreAnswer;
struct StoredObject;
struct WatchBatch;
class CallBudget;
class CallMetrics;
class HttpObjectStore;
class ObjectStore;
class PlatformHealth;
class SettledWriter;
class StoreDialect;
class StoreExchange;
class WriteSettlement;

}  // namespace ibismux::store

#endif  // IBISMUX_STORE_FORWARD_H_
