#ifndef STANDINS_LOOP_THREAD_H_
#define STANDINS_LOOP_THREAD_H_

#include <future>
#include <thread>
#include <utility>

#include "damaskroute/core/asio.h"

namespace damaskroute::standins {

/// Thread that runs an event loop. Must outlive the stand-ins that use it.
class LoopThread {
 public:
  LoopThread() : io_(1), work_(io_.get_executor()), thread_([this] { io_.run(); }) {}
  ~LoopThread() {
    io_.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  asio::io_context& io() { return io_; }

  /// Calls `function` on the thread of the loop and waits for its result.
  template <typename Function>
  auto Run(Function function) -> decltype(function()) {
    if (std::this_thread::get_id() == thread_.get_id()) return function();
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    // Wrapped in a lambda, because Asio treats a packaged_task as a completion token.
    asio::post(io_, [task = std::move(task)]() mutable { task(); });
    return result.get();
  }

 private:
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace damaskroute::standins

#endif  // STANDINS_LOOP_THREAD_H_
