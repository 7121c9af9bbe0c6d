#ifndef STANDINS_LOOP_H_
#define STANDINS_LOOP_H_

#include <future>
#include <thread>
#include <utility>

#include "damaskroute/core/asio.h"

namespace damaskroute::standins {

/// Event loop with its own thread. Must outlive the stand-ins that use it.
class Loop {
 public:
  Loop() : io_(1), work_(io_.get_executor()), thread_([this] { io_.run(); }) {}
  ~Loop() {
    io_.stop();
    thread_.join();
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  asio::io_context& io() { return io_; }

  /// Calls `function` on the loop's thread and waits for its result.
  template <typename Function>
  auto Run(Function function) -> decltype(function()) {
    if (std::this_thread::get_id() == thread_.get_id()) return function();
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    // Wrapped, because Asio takes a bare packaged_task for a completion token of its own.
    asio::post(io_, [task = std::move(task)]() mutable { task(); });
    return result.get();
  }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_LOOP_H_
