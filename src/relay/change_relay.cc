#include "damaskroute/relay/change_relay.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "damaskroute/core/boot_clock.h"
#include "damaskroute/relay/change_log.h"
#include "damaskroute/relay/relayed_page.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Limit of followers. A reader usually has about `kNodesPerReader`, but in a zone of a few thousand
// nodes it has to serve half of them when only two readers are left.
constexpr std::size_t kMaxFollowers = 2048;

// Limit of the requested wait. Followers request less.
constexpr milliseconds kMaxWait{10'000};

// Limit of all large pages that are being sent. A page has up to 512 KB; without a limit, a
// thousand followers that ask at once would take 500 MB. The 32 followers of a reader can all get a
// page of 256 KB, several times a configuration of 180 shards.
constexpr std::size_t kMaxLargePageBytes = std::size_t{8} << 20;
constexpr std::size_t kLargePageBytes = std::size_t{16} << 10;

HttpServerOptions RelayOptions(const Endpoint& listen, const ChangeRelay::Limits& limits) {
  HttpServerOptions options;
  options.listen = listen;
  options.memory = limits.memory;
  options.max_connections = std::min(limits.max_connections, kMaxFollowers);
  options.limits.max_body_bytes = 1024;
  return options;
}

// Value of a parameter in the query of a target; nullopt if it is missing or not a number.
std::optional<std::uint64_t> NumericParameter(std::string_view target, std::string_view name) {
  std::string key = std::string(name) + "=";
  std::size_t at = target.find(key);
  if (at == std::string_view::npos) return std::nullopt;
  std::string_view text = target.substr(at + key.size());
  text = text.substr(0, text.find('&'));
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number)) return std::nullopt;
  return number;
}

HttpResponse Failure(int status) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain";
  return response;
}

}  // namespace

/// The log and the requests that wait for changes.
struct ChangeRelay::State {
  // What a follower knows of the store.
  struct Position {
    std::uint64_t era = 0;
    std::uint64_t after = 0;
  };

  // When a request arrived, in both clocks.
  struct Arrival {
    TimePoint at;
    std::optional<Duration> since_boot;  // If the follower asks for the age of the configuration.
  };

  struct Waiting {
    Position position;
    Arrival arrival;
    HttpResponder respond;
    asio::steady_timer timer;
  };

  void Handle(const HttpRequest& request, HttpResponder respond);
  void Respond(const Position& position, const Arrival& arrival,
               const HttpResponder& respond) const;
  std::optional<StorePage> Find(const Position& position) const;

  // Returns a token for sending a large page of `size` bytes; null if too many are being sent.
  std::shared_ptr<void> TakeLargePage(std::size_t size) const;

  // Removes all waiting requests and runs `answer` on each.
  template <typename Answer>
  void RemoveAll(const Answer& answer) {
    for (const auto& removed : std::exchange(waiting, {})) {
      removed->timer.cancel();
      answer(*removed);
    }
  }

  // Responds to the followers that ask for the age of the configuration.
  void RespondWithAge() {
    for (auto it = waiting.begin(); it != waiting.end();) {
      auto call = *it;
      if (!call->arrival.since_boot) {
        ++it;
        continue;
      }
      it = waiting.erase(it);
      call->timer.cancel();
      Respond(call->position, call->arrival, call->respond);
    }
  }

  asio::io_context& loop;
  std::function<Duration()> age;
  std::function<std::optional<Duration>()> certain_until;
  std::weak_ptr<State> self;
  ChangeLog log;
  std::set<std::shared_ptr<Waiting>> waiting;
  // The tokens may outlive this object.
  std::shared_ptr<std::size_t> large_page_bytes = std::make_shared<std::size_t>(0);
};

void ChangeRelay::State::Handle(const HttpRequest& request, HttpResponder respond) {
  auto era = NumericParameter(request.target, "era");
  auto after = NumericParameter(request.target, "after");
  auto wait = NumericParameter(request.target, "wait");
  if (!request.target.starts_with("/changes?") || !era || !after || !wait) {
    return respond(Failure(404));
  }
  Position position{*era, *after};
  auto page = Find(position);
  Arrival arrival{SteadyClock().Now(), std::nullopt};
  if (NumericParameter(request.target, "certain") == 1) arrival.since_boot = TimeSinceBoot();
  if (!page || !page->items.empty() || *wait == 0) return Respond(position, arrival, respond);
  auto call = std::make_shared<Waiting>(
      Waiting{position, arrival, std::move(respond), asio::steady_timer(loop)});
  waiting.insert(call);
  auto longest = static_cast<std::uint64_t>(kMaxWait.count());
  call->timer.expires_after(milliseconds(std::min(*wait, longest)));
  call->timer.async_wait([weak = self, call](const boost::system::error_code&) {
    auto state = weak.lock();
    if (state && state->waiting.erase(call) > 0) {
      state->Respond(call->position, call->arrival, call->respond);
    }
  });
}

std::optional<StorePage> ChangeRelay::State::Find(const Position& position) const {
  return position.era == log.era() ? log.After(position.after) : std::nullopt;
}

std::shared_ptr<void> ChangeRelay::State::TakeLargePage(std::size_t size) const {
  if (*large_page_bytes + size > kMaxLargePageBytes) return nullptr;
  *large_page_bytes += size;
  return {large_page_bytes.get(), [bytes = large_page_bytes, size](void*) { *bytes -= size; }};
}

void ChangeRelay::State::Respond(const Position& position, const Arrival& arrival,
                                 const HttpResponder& respond) const {
  auto page = Find(position);
  if (!page) return respond(Failure(410));
  HttpResponse response;
  response.content_type = "application/octet-stream";
  using std::chrono::microseconds;
  response.body = EncodeRelayedPage(
      {*std::move(page), std::chrono::duration_cast<microseconds>(age()),
       std::chrono::duration_cast<microseconds>(SteadyClock().Now() - arrival.at)});
  if (response.body.size() > kLargePageBytes) {
    response.token = TakeLargePage(response.body.size());
    if (!response.token) return respond(Failure(503));  // The follower asks another node.
  }
  // Relative to the arrival, so that no time passes unnoticed between reading a clock and sending.
  auto until = certain_until ? certain_until() : std::nullopt;
  if (arrival.since_boot && until) {
    auto age_on_arrival = std::chrono::ceil<microseconds>(*arrival.since_boot - *until);
    response.headers.push_back({kConfigurationAgeHeader, std::to_string(age_on_arrival.count())});
  }
  respond(std::move(response));
}

ChangeRelay::ChangeRelay(asio::io_context& loop, const Endpoint& listen,
                         std::function<Duration()> age, const Limits& limits)
    : state_(std::make_shared<State>(State{loop, std::move(age), {}, {}, {}, {}})) {
  state_->self = state_;
  server_.emplace(std::vector<asio::io_context*>{&loop}, RelayOptions(listen, limits),
                  [weak = state_->self](const HttpRequest& request, HttpResponder respond) {
                    if (auto state = weak.lock()) state->Handle(request, std::move(respond));
                  });
}

ChangeRelay::~ChangeRelay() = default;

void ChangeRelay::SetCertainUntil(std::function<std::optional<Duration>()> certain_until) {
  state_->certain_until = std::move(certain_until);
}

absl::Status ChangeRelay::Start() { return server_->Start(); }

void ChangeRelay::Stop() {
  state_->RemoveAll([](const auto& call) { call.respond(Failure(503)); });
  server_->BeginDrain();
}

void ChangeRelay::OnAllRead(std::uint64_t revision, std::uint64_t era) {
  state_->log.Restart(revision, era);
  AnswerAll();
}

void ChangeRelay::OnChanges(const StorePage& page) {
  state_->log.Append(page.items, page.as_of, page.after_outage);
  if (!page.items.empty()) AnswerAll();
}

void ChangeRelay::OnCertain() { state_->RespondWithAge(); }

void ChangeRelay::AnswerAll() {
  state_->RemoveAll(
      [this](const auto& call) { state_->Respond(call.position, call.arrival, call.respond); });
}

}  // namespace damaskroute
