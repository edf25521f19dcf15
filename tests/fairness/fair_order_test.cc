// Loads of customers that compete for the leafs of one service, without a
// network: who is served next.

#include "ibismux/fairness/fair_order.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <criterion/criterion.h>

namespace ibismux::fairness::testing {
namespace {

/// A queue that serves one call at a time.
class Queue {
 public:
  void arrive(const Share& share, int calls = 1) {
    for (int i = 0; i < calls; ++i) {
      this->waiting.emplace(this->order.enqueue(share), share);
    }
  }

  /// Serves the next call. @return Its customer. Precondition: one waits.
  std::string serve() {
    const auto next = this->waiting.begin();
    const std::string customer = next->second.customer;
    this->order.on_start(next->second, next->first);
    this->waiting.erase(next);
    ++this->served[customer];
    return customer;
  }

  /// All calls of `customer` leave.
  void leave(const std::string& customer) {
    std::erase_if(this->waiting, [&](const auto& call) {
      const bool leaves = call.second.customer == customer;
      if (leaves) {
        this->order.on_leave(call.second);
      }
      return leaves;
    });
  }

  void serve(int calls) {
    for (int i = 0; i < calls; ++i) {
      static_cast<void>(this->serve());
    }
  }

  /// The calls that a new one of `share` would wait behind.
  [[nodiscard]] std::size_t ahead(const Share& share) const {
    const auto end = this->waiting.lower_bound(this->order.next(share));
    const auto waiting =
        static_cast<std::size_t>(std::distance(this->waiting.begin(), end));
    return std::max(waiting, this->order.calls_before(share));
  }

  std::map<std::string, int> served;

 private:
  FairOrder order;
  std::map<FairOrder::Tag, Share> waiting;
};

Test(fair_order, a_customer_without_backlog_is_next_whatever_one_other_sends) {
  Queue queue;
  queue.arrive({"hot"}, 500);
  queue.serve(3);
  cr_assert(queue.ahead({"quiet"}) <= 1);
  cr_assert(queue.ahead({"hot"}) == 497);
  queue.arrive({"quiet"});
  queue.serve(2);
  cr_assert(queue.served["quiet"] == 1);
}

Test(fair_order, one_customer_with_all_the_load_is_served_by_arrival) {
  FairOrder order;
  FairOrder::Tag before = order.enqueue({"only"});
  for (int i = 0; i < 100; ++i) {
    const FairOrder::Tag tag = order.enqueue({"only"});
    cr_assert(before < tag);
    before = tag;
  }
}

Test(fair_order, backlogs_are_served_by_weight) {
  Queue queue;
  queue.arrive({"large", 3}, 300);
  queue.arrive({"small", 1}, 300);
  queue.serve(200);
  cr_assert(queue.served["large"] >= 148 && queue.served["large"] <= 152);
}

Test(fair_order, customers_with_one_call_each_are_served_by_arrival) {
  Queue queue;
  for (int i = 0; i < 5000; ++i) {
    queue.arrive({"c" + std::to_string(i)});
  }
  for (int i = 0; i < 5000; ++i) {
    cr_assert(queue.serve() == "c" + std::to_string(i));
  }
}

// Guards against calls that wait for as long as customers come that have sent
// none before.
Test(fair_order, a_second_call_is_served_while_new_customers_keep_coming) {
  Queue queue;
  queue.arrive({"busy"}, 20);
  int next = 0;
  for (int i = 0; i < 10; ++i) {
    queue.arrive({"c" + std::to_string(next++)});
  }
  for (int i = 0; i < 1000; ++i) {
    queue.arrive({"c" + std::to_string(next++)});
    queue.serve(1);
  }
  cr_assert(queue.served["busy"] == 20);
}

// Guards against callers that pay for earlier ones of the same customer that
// have left.
Test(fair_order, calls_that_left_cost_their_customer_nothing) {
  Queue queue;
  queue.arrive({"hot"}, 500);
  queue.arrive({"other"}, 3);
  queue.serve(2);
  queue.leave("hot");
  cr_assert(queue.ahead({"hot"}) <= 2);
}

// Guards against calls that are accepted as in time and then overtaken by those
// of others until they are late.
Test(fair_order, a_backlog_counts_with_what_others_send_meanwhile) {
  Queue queue;
  queue.arrive({"hot"}, 50);
  for (int i = 0; i < 9; ++i) {
    queue.arrive({"c" + std::to_string(i)});
  }
  const std::size_t expected = queue.ahead({"hot"});
  queue.arrive({"hot"});
  int served = 0;
  for (int round = 0; queue.served["hot"] < 51 && served < 2000; ++round) {
    queue.arrive({"c" + std::to_string(round % 9)});
    queue.serve(1);
    ++served;
  }
  cr_assert(static_cast<double>(expected) >= 0.8 * served, "%zu of %d",
            expected, served);
}

Test(fair_order, a_weight_that_changes_counts_from_the_next_call_on) {
  Queue queue;
  queue.arrive({"a", 1}, 50);
  queue.arrive({"b", 1}, 50);
  queue.serve(20);
  queue.arrive({"a", 4}, 200);
  queue.arrive({"b", 1}, 200);
  queue.serve(80);
  queue.served.clear();
  queue.serve(100);
  cr_assert(queue.served["a"] >= 75);
}

// Guards against callers of a customer beyond its limit that are served hardly
// at all: a quarter of the share of others is the least, and this is twice
// that.
Test(fair_order, a_customer_beyond_its_limit_is_not_starved) {
  Queue queue;
  const Share hot{"hot", 1, 7.5};
  std::map<std::string, int> sent;
  // Ten customers at nine tenths of the capacity, the hot one at its limit of
  // two tenths.
  for (int round = 0; round < 1000; ++round) {
    for (int i = 0; i < 9; ++i) {
      const std::string name = "c" + std::to_string((round * 9 + i) % 10);
      queue.arrive({name});
      ++sent[name];
    }
    queue.arrive(hot, 2);
    sent["hot"] += 2;
    queue.serve(10);
  }
  int all_sent = 0;
  int all_served = 0;
  for (const auto& [name, count] : sent) {
    all_sent += count;
    all_served += queue.served[name];
  }
  const double share_of_all = static_cast<double>(all_served) / all_sent;
  const double share_of_hot =
      static_cast<double>(queue.served["hot"]) / sent["hot"];
  cr_assert(share_of_hot >= share_of_all / 2, "%f of %f", share_of_hot,
            share_of_all);
  cr_assert(share_of_hot < 1);
  for (int i = 0; i < 10; ++i) {
    const std::string name = "c" + std::to_string(i);
    cr_assert(queue.served[name] >= 0.97 * sent[name]);
  }
}

Test(fair_order, what_a_customer_sends_elsewhere_counts_against_its_backlog) {
  Queue queue;
  queue.arrive({"hot", 1, 5}, 100);
  queue.arrive({"other"}, 100);
  queue.serve(90);
  cr_assert(queue.served["other"] >= 58, "%d", queue.served["other"]);
}

}  // namespace
}  // namespace ibismux::fairness::testing
