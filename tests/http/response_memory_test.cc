#include "ibismux/http/response_memory.h"

#include <vector>

#include <criterion/criterion.h>

using ibismux::http::ResponseMemory;

namespace {

struct FakeReader : ResponseMemory::Reader {
  void give_up_response() override { ++this->times; }
  int times = 0;
};

}  // namespace

Test(response_memory, readers_go_on_within_the_limit) {
  ResponseMemory memory(100);
  FakeReader a;
  FakeReader b;
  cr_assert(memory.update(a, 60));
  cr_assert(memory.update(b, 40));
  cr_assert(memory.update(a, 50));
  cr_assert(memory.held() == 90);
  memory.release(a);
  memory.release(a);
  cr_assert(memory.held() == 40);
  cr_assert(memory.given_up() == 0);
}

// Guards against short responses that are given up for the sake of endless
// ones.
Test(response_memory, the_longest_response_is_given_up) {
  ResponseMemory memory(100);
  FakeReader endless;
  FakeReader other;
  cr_assert(memory.update(endless, 90));
  cr_assert(memory.update(other, 20));
  cr_assert(endless.times == 1);
  cr_assert(other.times == 0);
  cr_assert(memory.held() == 20);
  cr_assert(!memory.update(endless, 101));
  cr_assert(endless.times == 2);
  cr_assert(memory.held() == 20);
  cr_assert(memory.given_up() == 2);
}

// Guards against a reader that goes on with a response that was given up.
Test(response_memory, a_reader_is_told_that_it_gave_up_itself) {
  ResponseMemory memory(100);
  std::vector<FakeReader> others(5);
  for (FakeReader& reader : others) {
    cr_assert(memory.update(reader, 20));
  }
  FakeReader longest;
  cr_assert(!memory.update(longest, 50));
  cr_assert(longest.times == 1);
  cr_assert(memory.held() == 100);
}
