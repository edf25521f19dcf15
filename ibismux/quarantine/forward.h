#ifndef IBISMUX_QUARANTINE_FORWARD_H_
#define IBISMUX_QUARANTINE_FORWARD_H_

namespace ibismux::quarantine {

enum class QuarantineState : unsigned char;
struct QuarantineRecord;
struct RequestContent;
class CrashWatch;
class QuarantineMetrics;
class QuarantineTable;
class QuarantineWriter;
class RequestDigest;

}  // namespace ibismux::quarantine

#endif  // IBISMUX_QUARANTINE_FORWARD_H_
