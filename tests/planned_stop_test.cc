#include <doctest/doctest.h>

#include "tests/support/platform_fixture.h"

// Guards against requests that arrive late in the grace period of a planned stop, are passed on,
// and are cut off without an answer at its end.

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

std::string Id(std::size_t number) { return fmt::format("id-{}", number); }

TEST_CASE("a request in a planned stop is answered or has not run, however late it comes") {
  PlatformFixture w;
  auto& server = w.AddServer("i-1", "desk");
  server.SetMode(platform::ServerMode::kUnresponsive);
  REQUIRE(w.StartServing(1));
  // Connections that were open before the stop, as callers keep using them.
  std::vector<std::unique_ptr<HttpTestClient>> clients;
  constexpr std::size_t kClients = 60;
  clients.reserve(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<HttpTestClient>(w.settings.callers));
  }
  std::vector<std::future<HttpTestClient::Response>> answers;
  auto send = [&](std::size_t number) {
    clients[number]->SendRaw(PlatformFixture::Render("POST", "/act/x", Id(number), "text", 15'000));
    answers.push_back(
        std::async(std::launch::async, [&, number] { return clients[number]->Receive(); }));
  };
  send(0);  // In progress when the stop begins.
  REQUIRE(PlatformFixture::Await([&] { return server.runs().size() == 1; }));
  w.TerminateNode();
  auto ended = w.ended.get_future();
  for (std::size_t i = 1; i < clients.size(); ++i) {
    if (ended.wait_for(w.settings.grace / 50) == std::future_status::ready) break;
    send(i);
  }
  REQUIRE(ended.wait_for(PlatformFixture::kWaitTimeout) == std::future_status::ready);
  w.StopNode();
  std::set<std::string> ran;
  for (const auto& run : server.runs()) ran.insert(run.id);
  for (std::size_t i = 0; i < answers.size(); ++i) {
    CAPTURE(i);
    auto answer = answers[i].get();
    if (ran.contains(Id(i))) {
      CHECK(answer.status >= 500);
      CHECK(answer.status != 503);
    } else {
      CHECK((answer.status == 0 || answer.status == 503));
    }
  }
  CHECK(answers.size() > 10);
}

}  // namespace
}  // namespace damaskroute
