#ifndef IBISMUX_RESERVATION_FORWARD_H_
#define IBISMUX_RESERVATION_FORWARD_H_

namespace ibismux::reservation {

enum class RecordState : unsigned char;
struct BucketOperation;
struct ClaimId;
struct KeyHash;
struct KeyRecord;
struct ReservationAnswer;
struct ReservationRequest;
struct ReservationSettings;
struct SegmentRef;
struct Verdict;
class Archive;
class Bucket;
class BucketKeeper;
class BucketWriter;
class ClaimClient;
class LeafRunner;
class LiveClaims;
class ReservationEngine;
class TicketTable;

}  // namespace ibismux::reservation

#endif  // IBISMUX_RESERVATION_FORWARD_H_
