#ifndef IBISMUX_PLATFORM_FORWARD_H_
#define IBISMUX_PLATFORM_FORWARD_H_

namespace ibismux::platform {

enum class CallKind : unsigned char;
enum class CallResult : unsigned char;
enum class PlatformState : unsigned char;
struct FleetBudget;
struct HealthSettings;
struct HostEntry;
struct PlatformSettings;
struct StoredObject;
struct WatchBatch;
class CallBudget;
class CallMetrics;
class HttpObjectStore;
class ObjectStore;
class PlatformHealth;
class SettledWriter;
class WriteSettlement;

}  // namespace ibismux::platform

#endif  // IBISMUX_PLATFORM_FORWARD_H_
