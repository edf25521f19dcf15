#include "ibismux/base/io_pool.h"

#include <boost/asio/executor_work_guard.hpp>

namespace ibismux {

IoPool::IoPool(std::size_t threads) {
  for (std::size_t i = 0; i < threads; ++i) {
    this->contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    this->guards.push_back(
        boost::asio::make_work_guard(*this->contexts.back()));
  }
}

IoPool::~IoPool() {
  this->stop();
}

void IoPool::start() {
  for (auto& context : this->contexts) {
    this->threads.emplace_back([&context] { context->run(); });
  }
}

void IoPool::stop() {
  for (auto& context : this->contexts) {
    context->stop();
  }
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
}

}  // namespace ibismux
