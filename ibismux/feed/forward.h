#ifndef IBISMUX_FEED_FORWARD_H_
#define IBISMUX_FEED_FORWARD_H_

namespace ibismux::feed {

enum class Source : unsigned char;
struct FeedSettings;
struct Update;
struct PullMessage;
struct PushMessage;
class CollectionFeed;
class CollectionMirror;
class FeedObserver;
class FeedRelay;
class OutageProbes;
class SourceChoice;

}  // namespace ibismux::feed

#endif  // IBISMUX_FEED_FORWARD_H_
