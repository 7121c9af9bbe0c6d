#include "standins/non_ephemeral_endpoint.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <set>

namespace damaskroute::standins {
namespace {

constexpr std::size_t kPorts = 450;

// Guards against two soaks or tests beside each other that draw the same port while the node that
// uses it is down. The child draws first, so that it holds no block of its parent.
TEST_CASE("two processes draw different ports") {
  std::array<int, 2> drawn{};
  std::array<int, 2> done{};
  REQUIRE(pipe(drawn.data()) == 0);
  REQUIRE(pipe(done.data()) == 0);
  pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    close(done[1]);
    std::array<std::uint16_t, kPorts> ports{};
    for (auto& port : ports) port = NonEphemeralEndpoint().port;
    bool sent = write(drawn[1], ports.data(), sizeof ports) == sizeof ports;
    char byte;
    bool waited = read(done[0], &byte, 1) == 0;  // Until the parent closes its end.
    _exit(sent && waited ? 0 : 1);
  }
  std::array<std::uint16_t, kPorts> ports{};
  REQUIRE(read(drawn[0], ports.data(), sizeof ports) == sizeof ports);
  std::set<std::uint16_t> others(ports.begin(), ports.end());
  CHECK(others.size() == kPorts);
  std::size_t shared = 0;
  for (std::size_t i = 0; i < kPorts; ++i) shared += others.count(NonEphemeralEndpoint().port);
  CHECK(shared == 0);
  close(done[1]);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(status == 0);
}

}  // namespace
}  // namespace damaskroute::standins
