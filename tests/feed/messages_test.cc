#include "ibismux/feed/messages.h"

#include <criterion/criterion.h>

namespace ibismux::feed {
namespace {

Test(feed_messages, a_push_survives_encoding_and_decoding) {
  PushMessage message;
  message.age = std::chrono::milliseconds(250);
  message.available_for = std::chrono::milliseconds(61'000);
  message.known = {{"config", 7}, {"leafs", 9}};
  message.updates.push_back({"leafs",
                             8,
                             9,
                             false,
                             {{{"leafs", "i-1", 9, "{\"a\":1}"}, false},
                              {{"leafs", "i-2", 9, ""}, true}}});
  const auto read = decode_push(encode(message));
  cr_assert(read.has_value());
  cr_assert(read->age == message.age);
  cr_assert(read->available_for == message.available_for);
  cr_assert(read->known == message.known);
  cr_assert(read->updates.size() == 1 && read->updates[0].events.size() == 2);
  cr_assert(read->updates[0].since == 8 && read->updates[0].version == 9);
  cr_assert(read->updates[0].events[0].object.value == "{\"a\":1}");
  cr_assert(read->updates[0].events[1].removed);
}

Test(feed_messages, a_pull_survives_encoding_and_decoding) {
  const auto read = decode_pull(encode(PullMessage{{{"config", 7}}}));
  cr_assert(read.has_value() && read->have.at("config") == 7);
}

Test(feed_messages, garbage_is_refused) {
  cr_assert(!decode_push("garbage").has_value());
  cr_assert(!decode_pull(std::string(40, '\xff')).has_value());
  PushMessage future;
  future.age = std::chrono::milliseconds(-5);
  cr_assert(!decode_push(encode(future)).has_value());
  future = {.available_for = std::chrono::milliseconds(-5)};
  cr_assert(!decode_push(encode(future)).has_value());
}

}  // namespace
}  // namespace ibismux::feed
