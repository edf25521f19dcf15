#include "ibismux/reservation/random_source.h"

#include <pcg_random.hpp>
#include <random>

namespace ibismux::reservation {

std::uint64_t random_number() {
  thread_local pcg64 generator(pcg_extras::seed_seq_from<std::random_device>{});
  return generator();
}

}  // namespace ibismux::reservation
