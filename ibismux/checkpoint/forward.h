#ifndef IBISMUX_CHECKPOINT_FORWARD_H_
#define IBISMUX_CHECKPOINT_FORWARD_H_

namespace ibismux::checkpoint {

struct LeafCheckpoint;
class CheckpointSchedule;
class CheckpointWriter;

}  // namespace ibismux::checkpoint

#endif  // IBISMUX_CHECKPOINT_FORWARD_H_
