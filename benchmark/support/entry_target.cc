#include "benchmark/support/entry_target.h"

#include <algorithm>
#include <cstdlib>

#include "fmt/format.h"

namespace damaskroute::bench {
namespace {

constexpr int kConnectionsPerEntry = 2000;

// An answer that arrives later than this after the deadline counts as missing.
constexpr std::chrono::milliseconds kGrace{500};

std::string TextMember(const std::string& body, const std::string& name) {
  std::string prefix = "\"" + name + "\":\"";
  std::size_t start = body.find(prefix);
  if (start == std::string::npos) return {};
  start += prefix.size();
  return body.substr(start, body.find('"', start) - start);
}

double CoverageOf(const std::string& body) {
  constexpr std::string_view kPrefix = "\"fraction\":";
  std::size_t start = body.find(kPrefix);
  if (start == std::string::npos) return 0;
  return std::strtod(body.c_str() + start + kPrefix.size(), nullptr);
}

}  // namespace

EntryTarget::EntryTarget(EventLoop& loop, const LoadOptions& options) : options_(options) {
  for (const Endpoint& target : options.targets) {
    clients_.push_back(
        std::make_unique<BackendClient>(loop.context(), target, kConnectionsPerEntry));
  }
}

void EntryTarget::Send(bool urgent, TimePoint deadline, Done done) {
  std::size_t index = next_++ % clients_.size();
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - SteadyClock().Now());
  left = std::max(left, std::chrono::milliseconds(1));
  std::string body = fmt::format(R"({{"query":{},"deadline_ms":{},"priority":"{}"}})",
                                 options_.query, left.count(), urgent ? "urgent" : "normal");
  ExchangeRequest request{
      fmt::format("POST /v1/fronts/{}/query HTTP/1.1\r\nHost: {}\r\n"
                  "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                  options_.front, FormatEndpoint(options_.targets[index]), body.size(), body),
      left + kGrace};
  clients_[index]->Start(std::move(request), [done = std::move(done)](const ExchangeResult& r) {
    if (r.end != ExchangeEnd::kAnswered) {
      done(0, 0, "none");
    } else {
      done(r.status, r.status == 200 ? CoverageOf(r.body) : 0, TextMember(r.body, "verdict"));
    }
  });
}

}  // namespace damaskroute::bench
