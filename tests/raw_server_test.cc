#include "tests/support/raw_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <list>
#include <memory>
#include <thread>

namespace damaskroute {
namespace {

// Guards against a crash of the tests that use this server: the second of two connections that
// arrive together is accepted after the destructor has closed the port.
TEST_CASE("no connection is accepted once the server is being destroyed") {
  standins::LoopThread loop;
  std::promise<void> entered;
  std::promise<void> released;
  std::atomic<int> accepted{0};
  auto server = std::make_unique<RawServer>(loop, [&](const auto&) {
    if (++accepted > 1) return;
    entered.set_value();
    released.get_future().wait();
  });
  Endpoint endpoint = server->endpoint();
  asio::io_context client;
  std::list<asio::ip::tcp::socket> sockets;
  for (int i = 0; i < 2; ++i) {
    sockets.emplace_back(client).connect({asio::ip::make_address(endpoint.address), endpoint.port});
  }
  entered.get_future().wait();
  std::thread destroyer([&] { server.reset(); });
  // The destructor waits for the loop, which is busy with the first connection.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  released.set_value();
  destroyer.join();
  loop.Run([] {});
  CHECK(accepted == 1);
}

}  // namespace
}  // namespace damaskroute
