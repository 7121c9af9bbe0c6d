#include "damaskroute/relay/change_relay.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "damaskroute/relay/change_log.h"
#include "damaskroute/relay/relayed_page.h"

namespace damaskroute {
namespace {

using std::chrono::milliseconds;

// Followers of one zone; a zone of the largest deployment has some thousand nodes, of which each
// reader serves half.
constexpr std::size_t kMaxFollowers = 2048;

// Longest wait that is granted. Followers ask for less.
constexpr milliseconds kLongestWait{10'000};

HttpServerOptions RelayOptions(const Endpoint& listen) {
  HttpServerOptions options;
  options.listen = listen;
  options.max_connections = kMaxFollowers;
  options.limits.max_body_bytes = 1024;
  return options;
}

// Value of a parameter in the query of a target; nothing if it is no number.
std::optional<std::uint64_t> NumberIn(std::string_view target, std::string_view name) {
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

/// The calls that wait for changes.
struct ChangeRelay::State {
  struct Waiting {
    std::uint64_t after = 0;
    TimePoint since;
    HttpResponder respond;
    asio::steady_timer timer;
  };

  void Handle(const HttpRequest& request, HttpResponder respond);
  void Respond(std::uint64_t after, TimePoint since, const HttpResponder& respond) const;

  // Ends the wait of all calls and runs `answer` on each.
  template <typename Answer>
  void EndAll(const Answer& answer) {
    for (const auto& ended : std::exchange(waiting, {})) {
      ended->timer.cancel();
      answer(*ended);
    }
  }

  asio::io_context& loop;
  std::function<Duration()> age;
  std::weak_ptr<State> self;
  ChangeLog log;
  std::set<std::shared_ptr<Waiting>> waiting;
};

void ChangeRelay::State::Handle(const HttpRequest& request, HttpResponder respond) {
  auto after = NumberIn(request.target, "after");
  auto wait = NumberIn(request.target, "wait");
  if (!request.target.starts_with("/changes?") || !after || !wait) return respond(Failure(404));
  auto page = log.After(*after);
  TimePoint since = SteadyClock().Now();
  if (!page || !page->items.empty() || *wait == 0) return Respond(*after, since, respond);
  auto call = std::make_shared<Waiting>(
      Waiting{*after, since, std::move(respond), asio::steady_timer(loop)});
  waiting.insert(call);
  auto longest = static_cast<std::uint64_t>(kLongestWait.count());
  call->timer.expires_after(milliseconds(std::min(*wait, longest)));
  call->timer.async_wait([weak = self, call](const boost::system::error_code&) {
    auto state = weak.lock();
    if (state && state->waiting.erase(call) > 0) {
      state->Respond(call->after, call->since, call->respond);
    }
  });
}

void ChangeRelay::State::Respond(std::uint64_t after, TimePoint since,
                                 const HttpResponder& respond) const {
  auto page = log.After(after);
  if (!page) return respond(Failure(410));
  HttpResponse response;
  response.content_type = "application/octet-stream";
  using std::chrono::microseconds;
  response.body =
      EncodeRelayedPage({*std::move(page), std::chrono::duration_cast<microseconds>(age()),
                         std::chrono::duration_cast<microseconds>(SteadyClock().Now() - since)});
  respond(std::move(response));
}

ChangeRelay::ChangeRelay(asio::io_context& loop, const Endpoint& listen,
                         std::function<Duration()> age)
    : state_(std::make_shared<State>(State{loop, std::move(age), {}, {}, {}})) {
  state_->self = state_;
  server_.emplace(std::vector<asio::io_context*>{&loop}, RelayOptions(listen),
                  [weak = state_->self](const HttpRequest& request, HttpResponder respond) {
                    if (auto state = weak.lock()) state->Handle(request, std::move(respond));
                  });
}

ChangeRelay::~ChangeRelay() = default;

absl::Status ChangeRelay::Start() { return server_->Start(); }

void ChangeRelay::Stop() {
  state_->EndAll([](const auto& call) { call.respond(Failure(503)); });
  server_->BeginDrain();
}

void ChangeRelay::OnAllRead(std::uint64_t revision) {
  state_->log.Restart(revision);
  AnswerAll();
}

void ChangeRelay::OnChanges(const StorePage& page) {
  state_->log.Append(page.items, page.as_of, page.after_outage);
  if (!page.items.empty()) AnswerAll();
}

void ChangeRelay::AnswerAll() {
  state_->EndAll(
      [this](const auto& call) { state_->Respond(call.after, call.since, call.respond); });
}

}  // namespace damaskroute
