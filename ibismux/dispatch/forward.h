#ifndef IBISMUX_DISPATCH_FORWARD_H_
#define IBISMUX_DISPATCH_FORWARD_H_

namespace ibismux::dispatch {

enum class RepeatCause : unsigned char;
struct CallerRequest;
struct DispatchPolicy;
struct DispatchSettings;
struct LeafAnswer;
struct LeafCall;
struct LeafLoad;
struct LeafReply;
struct LinkSharers;
struct SelectionCriteria;
struct MergedAnswer;
struct RequestContext;
class DispatchMetrics;
class CallQueue;
class CallWindow;
class Dispatcher;
class ForwardRun;
class Leaf;
class LeafConnector;
class LeafEstimate;
class LeafLink;
class LinkOpener;
class LinkPool;
class PartCall;
class RequestRun;
class ScatterRun;
class ServiceGroup;
class TypicalLatency;

}  // namespace ibismux::dispatch

#endif  // IBISMUX_DISPATCH_FORWARD_H_
